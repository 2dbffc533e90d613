#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "base/clock.h"
#include "controllers/agent_server.h"
#include "controllers/agent_session.h"
#include "controllers/claim_controller.h"
#include "fakes/faulty_log.h"

namespace medlaryoke::fakes {

/// How one dispatch went at the entry.
struct seen_dispatch {
    std::uint64_t id = 0;
    std::string data;
    std::string end; ///< finished, refused or unknown; empty while open
    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED;

    void finish(const std::string& how)
    {
        cr_assert(this->end.empty(), "a dispatch ended as %s and %s", this->end.c_str(),
                  how.c_str());
        this->end = how;
    }
};

/// An upstream whose calls are answered by hand.
class scripted_upstream final : public controllers::upstream_service {
public:
    struct call final : controllers::upstream_call {
        void cancel() override { this->cancelled = true; }

        void answer(const std::string& data, bool last = true)
        {
            if (std::exchange(this->ended, this->ended || last) || this->cancelled) {
                return;
            }
            if (!std::exchange(this->begun, true)) {
                this->events.on_head({.status = 200, .headers = {}});
            }
            this->sent += data;
            this->events.on_data(data);
            if (last) {
                this->events.on_end();
            }
        }

        std::string request_id;
        std::string sent;
        controllers::upstream_events events;
        bool begun = false;
        bool ended = false;
        bool cancelled = false;
    };

    std::shared_ptr<controllers::upstream_call> start(const wire::dispatch& request, duration,
                                                      controllers::upstream_events events) override
    {
        this->calls.push_back(std::make_shared<call>());
        this->calls.back()->request_id = request.request_id();
        this->calls.back()->events = std::move(events);
        return this->calls.back();
    }

    std::vector<std::shared_ptr<call>> calls;
};

/// Timers and posted functions on a clock that is moved by hand.
struct manual_executor {
    manual_clock clock;
    std::deque<std::function<void()>> posted;
    std::multimap<time_point, std::function<void()>> timers;

    bool run_one()
    {
        std::function<void()> fn;
        if (!this->posted.empty()) {
            fn = std::move(this->posted.front());
            this->posted.pop_front();
        }
        else if (!this->timers.empty() && this->timers.begin()->first <= this->clock.now()) {
            fn = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
        }
        if (!fn) {
            return false;
        }
        fn();
        return true;
    }
};

/// An agent with its claims and a scripted upstream. The incarnation changes with each restart.
struct agent_node {
    agent_node(manual_executor& executor, faulty_log& log, std::uint64_t incarnation,
               std::function<void(const std::string&, wire::frame)> send, unsigned limit = 2)
    {
        const controllers::claim_controller_options claim_options{.partitions = 2,
                                                                  .agent_incarnation = incarnation};
        this->claims = std::make_shared<controllers::claim_controller>(
            executor.clock, log, claim_options,
            controllers::claim_controller_ports{
                .after =
                    [&executor](duration delay, std::function<void()> fn) {
                        executor.timers.emplace(executor.clock.now() + delay, std::move(fn));
                    },
                .unix_now =
                    [&executor] {
                        return policy::unix_time(
                            std::chrono::duration_cast<std::chrono::milliseconds>(
                                executor.clock.now().time_since_epoch() +
                                std::chrono::hours(1000)));
                    }});
        controllers::agent_server_options options;
        options.incarnation = incarnation;
        options.instance = "agent";
        options.serves = "desk";
        options.admission = {.initial_limit = limit, .max_limit = limit, .max_queue = 4};
        this->server = std::make_shared<controllers::agent_server>(
            executor.clock, options,
            controllers::agent_server_ports{.send = std::move(send),
                                            .config_offset = [this] { return this->config_offset; },
                                            .config_records_from =
                                                [](std::uint64_t from) {
                                                    wire::config_records records;
                                                    records.set_from_offset(from);
                                                    return records;
                                                },
                                            .fold_config =
                                                [this](const wire::config_records& records) {
                                                    this->config_offset = records.snapshot_offset();
                                                },
                                            .on_other_frame = {}},
            this->upstream, *this->claims);
    }

    std::uint64_t config_offset = 0;
    scripted_upstream upstream;
    std::shared_ptr<controllers::claim_controller> claims;
    std::shared_ptr<controllers::agent_server> server;
};

/// One entry, several agents and the connections between them, run step by step in one thread.
class agent_fleet {
public:
    explicit agent_fleet(std::size_t agent_count, unsigned limit = 2) : limit_(limit)
    {
        this->agents.resize(agent_count);
        for (std::size_t n = 0; n < agent_count; ++n) {
            this->links_.push_back(std::make_unique<link>());
            this->restart_agent(n);
            auto* it = this->links_.back().get();
            it->session = std::make_shared<controllers::agent_session>(
                this->executor.clock,
                controllers::agent_link_options{.upstream = "desk",
                                                .address = {},
                                                .instance = "entry",
                                                .data_centre = {},
                                                .entry_incarnation = 77},
                controllers::agent_link_events{
                    .on_load_changed = {},
                    .config_offset = [this] { return this->entry_config_offset; },
                    .confirmed_offset = {},
                    .on_config_frame =
                        [this](const wire::frame& frame) { this->config_frames.push_back(frame); },
                    .on_usage = {}},
                controllers::agent_session_ports{
                    .send =
                        [it](wire::frame frame) {
                            it->to_agent[it->connection].push_back(std::move(frame));
                            return true;
                        },
                    .reconnect =
                        [it] {
                            ++it->connection;
                            it->to_entry.clear();
                        },
                    .post =
                        [this](std::function<void()> fn) {
                            this->executor.posted.push_back(std::move(fn));
                        }});
            it->session->start();
        }
        this->settle();
    }

    void restart_agent(std::size_t n)
    {
        auto* it = this->links_[n].get();
        this->agents[n] = std::make_unique<agent_node>(
            this->executor, this->log, ++this->incarnations_,
            [it](const std::string& connection, wire::frame frame) {
                if (connection == std::to_string(it->connection) && connection != it->silent) {
                    it->to_entry.push_back(std::move(frame));
                }
            },
            this->limit_);
    }

    std::shared_ptr<seen_dispatch> dispatch(std::size_t agent, const std::string& request_id,
                                            const std::string& key = "",
                                            duration timeout = std::chrono::minutes(1))
    {
        wire::dispatch request;
        request.set_request_id(request_id);
        request.set_service("desk");
        request.set_organisation("org");
        request.set_idempotent(key.empty());
        request.set_idempotency_key(key);
        auto seen = std::make_shared<seen_dispatch>();
        seen->id = this->links_[agent]->session->dispatch(
            request, this->executor.clock.now() + timeout,
            {.on_head = [](const transport::http_head&) {},
             .on_data = [seen](const std::string& data) { seen->data += data; },
             .on_finished = [seen] { seen->finish("finished"); },
             .on_refused =
                 [seen](wire::refusal_reason reason, const std::string&) {
                     seen->reason = reason;
                     seen->finish("refused");
                 },
             .on_unknown = [seen](const std::string&) { seen->finish("unknown"); }});
        return seen;
    }

    /// Delivers one waiting frame, answer or function of each kind.
    bool step()
    {
        bool any = this->executor.run_one();
        any = this->log.deliver() || any;
        for (std::size_t n = 0; n < this->links_.size(); ++n) {
            auto& it = *this->links_[n];
            const auto name = it.cut ? it.silent : std::to_string(it.connection);
            any = (name != it.silent && this->deliver_to_agent(n, it.connection)) || any;
            if (!it.to_entry.empty() && name != it.silent) {
                const auto frame = std::move(it.to_entry.front());
                it.to_entry.pop_front();
                it.heard = this->executor.clock.now();
                it.session->on_frame(frame);
                any = true;
            }
        }
        return any;
    }

    void settle()
    {
        while (this->step()) {
        }
    }

    /// Moves the clock; ticks, heartbeats and the detection of silence happen on the way.
    void advance(duration total)
    {
        constexpr auto tick = std::chrono::milliseconds(100);
        for (duration done{}; done < total; done += tick) {
            this->executor.clock.advance(tick);
            const auto now = this->executor.clock.now();
            const bool heartbeat = ++this->ticks_ % 5 == 0;
            for (std::size_t n = 0; n < this->links_.size(); ++n) {
                auto& it = *this->links_[n];
                this->agents[n]->server->tick();
                if (heartbeat) {
                    this->agents[n]->server->send_heartbeats();
                    it.session->tick();
                }
                if (now - it.heard >= controllers::silence_limit) {
                    it.heard = now;
                    it.session->on_silent();
                }
            }
            this->settle();
        }
    }

    /// Silences the open connection for ever; frames to the agent stay on their way.
    void silence(std::size_t agent)
    {
        auto& it = *this->links_[agent];
        it.silent = std::to_string(it.connection);
        it.to_entry.clear();
    }

    /// Silences all connections from now on, as when the agent's instance is lost.
    void cut(std::size_t agent)
    {
        this->silence(agent);
        this->links_[agent]->cut = true;
    }

    /// Delivers the frames that a silent connection still holds.
    void deliver_late(std::size_t agent)
    {
        auto& it = *this->links_[agent];
        for (int n = 0; n < it.connection; ++n) {
            while (this->deliver_to_agent(agent, n)) {
            }
        }
        this->settle();
    }

    controllers::agent_session& session(std::size_t agent) { return *this->links_[agent]->session; }

    manual_executor executor;
    faulty_log log;
    std::uint64_t entry_config_offset = 0;
    std::vector<wire::frame> config_frames; ///< as received by the entry
    std::vector<std::unique_ptr<agent_node>> agents;

private:
    struct link {
        std::shared_ptr<controllers::agent_session> session;
        int connection = 0;
        std::string silent; ///< name of the connection that is silent
        bool cut = false;   ///< all further connections are silent, too
        std::map<int, std::deque<wire::frame>> to_agent;
        std::deque<wire::frame> to_entry;
        time_point heard{};
    };

    bool deliver_to_agent(std::size_t agent, int connection)
    {
        auto& queue = this->links_[agent]->to_agent[connection];
        if (queue.empty()) {
            return false;
        }
        const auto frame = std::move(queue.front());
        queue.pop_front();
        this->agents[agent]->server->on_frame(std::to_string(connection), frame);
        return true;
    }

    unsigned limit_;
    std::uint64_t incarnations_ = 0;
    std::vector<std::unique_ptr<link>> links_;
    int ticks_ = 0;
};

} // namespace medlaryoke::fakes
