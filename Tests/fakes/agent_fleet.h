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

/// Records the outcome of one dispatch as the entry sees it.
struct seen_dispatch {
    std::uint64_t id = 0;
    std::string data;
    std::string end; ///< `finished`, `refused` or `unknown`; empty while the dispatch runs
    wire::refusal_reason reason = wire::REFUSAL_REASON_UNSPECIFIED;

    /// Records the end of the dispatch; fails the test if it had ended before.
    void finish(const std::string& outcome)
    {
        cr_assert(this->end.empty(), "a dispatch that had ended as %s ended again as %s",
                  this->end.c_str(), outcome.c_str());
        this->end = outcome;
    }
};

/// Upstream service whose calls wait until the test answers them.
class scripted_upstream final : public controllers::upstream_service {
public:
    struct call final : controllers::upstream_call {
        void cancel() override { this->cancelled = true; }

        /// Sends a part of the response body, after the head if it is the first part. Does nothing
        /// if the call was cancelled or has ended.
        /// @param last whether the response ends with this part
        void answer(const std::string& data, bool last = true)
        {
            if (std::exchange(this->ended, this->ended || last) || this->cancelled) {
                return;
            }
            if (!std::exchange(this->head_sent, true)) {
                this->events.on_head({.status = 200, .headers = {}});
            }
            this->sent += data;
            this->events.on_data(data);
            if (last) {
                this->events.on_end();
            }
        }

        std::string request_id;
        std::string sent; ///< response data sent so far
        controllers::upstream_events events;
        bool head_sent = false;
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

/// Holds posted functions, timers and a clock that only the test advances.
struct manual_executor {
    manual_clock clock;
    std::deque<std::function<void()>> posted;
    std::multimap<time_point, std::function<void()>> timers;

    /// Runs the oldest posted function or, if none is posted, the first timer that is due.
    /// @return whether a function was run
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

/// Holds an agent server, its claim controller and a scripted upstream. Each restart of the agent
/// makes a new node with a new incarnation.
struct agent_node {
    agent_node(manual_executor& executor, faulty_log& log, std::uint64_t incarnation,
               std::function<void(const std::string&, wire::frame)> send,
               unsigned concurrency_limit = 2)
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
        options.admission = {.initial_limit = concurrency_limit,
                             .max_limit = concurrency_limit,
                             .max_queued_requests = 4};
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
                                            .apply_config_records =
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

/// Simulates one entry, several agents and the connections between them in one thread. The test
/// decides when frames are delivered and when time passes.
class agent_fleet {
public:
    /// @param concurrency_limit dispatches that each agent runs at the same time
    explicit agent_fleet(std::size_t agent_count, unsigned concurrency_limit = 2)
        : concurrency_limit_(concurrency_limit)
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

    /// Replaces an agent with a new incarnation, which keeps nothing that was in memory.
    void restart_agent(std::size_t n)
    {
        auto* it = this->links_[n].get();
        this->agents[n] = std::make_unique<agent_node>(
            this->executor, this->log, ++this->incarnations_,
            [it](const std::string& connection, wire::frame frame) {
                if (connection == std::to_string(it->connection) &&
                    connection != it->silent_connection) {
                    it->to_entry.push_back(std::move(frame));
                }
            },
            this->concurrency_limit_);
    }

    /// Dispatches a request to an agent.
    /// @param key idempotency key; the request is idempotent if the key is empty
    /// @return the outcome, updated while the fleet runs
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

    /// Runs one posted function or due timer, delivers one answer of the log, and delivers one
    /// frame in each direction of every connection that is not silent.
    /// @return whether there was anything to run or deliver
    bool step()
    {
        bool any = this->executor.run_one();
        any = this->log.deliver() || any;
        for (std::size_t n = 0; n < this->links_.size(); ++n) {
            auto& it = *this->links_[n];
            const auto name = it.isolated ? it.silent_connection : std::to_string(it.connection);
            any = (name != it.silent_connection && this->deliver_to_agent(n, it.connection)) || any;
            if (!it.to_entry.empty() && name != it.silent_connection) {
                const auto frame = std::move(it.to_entry.front());
                it.to_entry.pop_front();
                it.last_frame_time = this->executor.clock.now();
                it.session->on_frame(frame);
                any = true;
            }
        }
        return any;
    }

    /// Runs and delivers until nothing is left that can happen at the present time.
    void settle()
    {
        while (this->step()) {
        }
    }

    /// Advances the clock in ticks of 100 ms. Agents run their periodic work at each tick; at every
    /// fifth one they send heartbeats and the sessions run their periodic work. A session is told
    /// that its connection is silent once no frame has arrived for `silence_limit`.
    void advance(duration total)
    {
        constexpr auto tick = std::chrono::milliseconds(100);
        for (duration elapsed{}; elapsed < total; elapsed += tick) {
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
                if (now - it.last_frame_time >= controllers::silence_limit) {
                    it.last_frame_time = now;
                    it.session->on_silent();
                }
            }
            this->settle();
        }
    }

    /// Makes the open connection permanently silent. Frames already sent to the agent are kept for
    /// deliver_late(), frames to the entry are lost.
    void silence(std::size_t agent)
    {
        auto& it = *this->links_[agent];
        it.silent_connection = std::to_string(it.connection);
        it.to_entry.clear();
    }

    /// Makes the open connection and all later ones silent, as if the agent's instance were lost.
    void isolate(std::size_t agent)
    {
        this->silence(agent);
        this->links_[agent]->isolated = true;
    }

    /// Delivers the frames to the agent that earlier connections still hold.
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
    std::vector<wire::frame> config_frames; ///< received by the entry, oldest first
    std::vector<std::unique_ptr<agent_node>> agents;

private:
    struct link {
        std::shared_ptr<controllers::agent_session> session;
        int connection = 0;            ///< number of the open connection, which is also its name
        std::string silent_connection; ///< name of the last connection that became silent
        bool isolated = false;         ///< later connections are silent, too
        std::map<int, std::deque<wire::frame>> to_agent; ///< undelivered frames by connection
        std::deque<wire::frame> to_entry;
        time_point last_frame_time{}; ///< when the entry last received a frame
    };

    /// Delivers the oldest undelivered frame of a connection to the agent.
    /// @return whether there was one
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

    unsigned concurrency_limit_;
    std::uint64_t incarnations_ = 0;
    std::vector<std::unique_ptr<link>> links_;
    int ticks_ = 0;
};

} // namespace medlaryoke::fakes
