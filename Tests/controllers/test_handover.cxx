#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "controllers/handover_api.h"
#include "controllers/handover_controller.h"
#include "fakes/fake_log.h"
#include "fakes/fake_response_stream.h"
#include "fakes/manual_time.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using namespace medlaryoke::controllers;
using fakes::append_outcome;
using nlohmann::json;
using policy::work_state;

namespace {

/// A group of entries that share a log, and a record of the work that they execute.
class entry_group {
public:
    using done_function = std::function<void(work_result)>;

    explicit entry_group(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n) {
            this->names.push_back(fmt::format("entry-{}", n));
            this->live_runners.push_back({this->names.back()});
        }
        for (const auto& name : this->names) {
            handover_ports ports{time.timer(), [this] { return this->live_runners; },
                                 [this, name](const std::string& id, const std::string& payload,
                                              done_function done) {
                                     this->execute(name, id, payload, std::move(done));
                                 }};
            this->controllers.push_back(std::make_unique<handover_controller>(
                this->log, this->time.clock, name, std::move(ports)));
            this->controllers.back()->start();
        }
        this->api = std::make_unique<handover_api>(
            *this->controllers.front(), [](const std::string& payload) {
                if (payload == "{}") {
                    throw error(error_kind::invalid_argument, "empty payload", "Send a payload.");
                }
            });
    }

    std::shared_ptr<fakes::fake_response_stream> send(const std::string& method,
                                                      const std::string& path,
                                                      const std::string& operation = "",
                                                      const std::string& body = "{\"n\":1}")
    {
        transport::http_request request{method, "/v1/handover/" + path, {}, body};
        if (!operation.empty()) {
            request.headers.push_back({"Medlaryoke-Operation", operation});
        }
        auto response = std::make_shared<fakes::fake_response_stream>();
        cr_assert(this->api->handle(request, response));
        return response;
    }

    /// Removes an entry from the live entries; its process continues.
    void remove_live(const std::string& name)
    {
        std::erase_if(this->live_runners,
                      [&name](const live_runner& it) { return it.name == name; });
    }

    [[nodiscard]] work_state state_of(const std::string& id) const
    {
        return this->controllers.back()->find(id).value_or(policy::handover_work{}).state;
    }

    fakes::manual_time time;
    fakes::fake_log log{time};
    std::vector<std::string> names;
    std::vector<live_runner> live_runners;
    std::vector<std::unique_ptr<handover_controller>> controllers;
    std::unique_ptr<handover_api> api;
    duration execution_time = 50ms;
    bool hold_executions = false;              ///< executions neither run nor answer
    bool refuse_executions = false;            ///< executions are refused without running
    std::vector<std::string> runners;          ///< name of the entry of each execution, in order
    std::set<std::string> executed_work;       ///< ids of work whose execution was not refused
    std::vector<done_function> held_callbacks; ///< callbacks of executions that were held

private:
    void execute(const std::string& name, const std::string& id, const std::string& payload,
                 done_function done)
    {
        cr_assert(payload == "{\"n\":1}");
        this->runners.push_back(name);
        if (this->hold_executions) {
            this->held_callbacks.push_back(std::move(done));
            return;
        }
        if (this->refuse_executions) {
            done(work_not_run{"overloaded"});
            return;
        }
        this->executed_work.insert(id);
        this->time.after(this->execution_time,
                         [done = std::move(done)] { done(work_done{"{\"answer\":42}"}); });
    }
};

json parse_reply(const std::shared_ptr<fakes::fake_response_stream>& response, unsigned status)
{
    const auto& head = response->head;
    cr_assert(head && head->status == status, "%s", response->body.c_str());
    return json::parse(response->body);
}

} // namespace

// Guards against offered work that no entry runs or that several entries run.
Test(handover, offered_work_is_run_once_by_one_entry)
{
    entry_group it(3);
    std::vector<std::shared_ptr<fakes::fake_response_stream>> offers;
    offers.reserve(20);
    for (int n = 0; n < 20; ++n) {
        offers.push_back(it.send("POST", fmt::format("w{}/offer", n), "op-1"));
    }
    it.time.run_for(3s);
    for (int n = 0; n < 20; ++n) {
        const auto reply = parse_reply(offers.at(static_cast<std::size_t>(n)), 200);
        cr_assert(reply.at("owner") == "new" && reply.at("state") == "offered");
        const auto state = parse_reply(it.send("GET", fmt::format("w{}", n)), 200);
        cr_assert(state.at("state") == "completed" && state.at("result").at("answer") == 42);
    }
    cr_assert(it.runners.size() == 20);
    cr_assert(it.log.records().size() == 60, "an offer, a start and an end for each");
}

// Guards against work that is lost when its runner is no longer live, that is run too early by
// another entry, or that is completed twice because the first runner was only paused.
Test(handover, work_of_lost_runner_is_taken_over)
{
    entry_group it(3);
    it.hold_executions = true;
    it.send("POST", "w/offer", "op-1");
    it.time.run_for(1s);
    cr_assert(it.runners.size() == 1);
    it.remove_live(it.runners.front());
    it.hold_executions = false;
    it.time.run_for(3s);
    cr_assert(it.runners.size() == 1, "the work was taken over before the delay");
    it.time.run_for(5s);
    cr_assert(it.runners.size() == 2 && it.runners[0] != it.runners[1]);
    cr_assert(it.executed_work.contains("w") && it.state_of("w") == work_state::completed);
    const auto version = parse_reply(it.send("GET", "w"), 200).at("version");
    it.live_runners.push_back({it.runners.front()});
    it.held_callbacks.front()(work_done{"{\"answer\":43}"});
    it.time.run_for(5s);
    cr_assert(parse_reply(it.send("GET", "w"), 200).at("version") == version);
    cr_assert(it.runners.size() == 2);
}

// Guards against a draining entry that starts work or abandons work that it runs, and against
// offered work that waits for the draining entry.
Test(handover, draining_entry_finishes_its_work_and_starts_none)
{
    entry_group it(2);
    it.execution_time = 10s;
    it.send("POST", "w0/offer", "op-1");
    it.time.run_for(1s);
    const auto drained = it.runners.front();
    const auto index = drained == it.names[0] ? 0U : 1U;
    it.controllers[index]->drain();
    it.live_runners[index].draining = true;
    for (int n = 1; n < 9; ++n) {
        it.send("POST", fmt::format("w{}/offer", n), "op-1");
    }
    it.time.run_for(3s);
    cr_assert(it.controllers[index]->active_work_count() == 1);
    it.time.run_for(30s);
    cr_assert(it.controllers[index]->active_work_count() == 0 && it.runners.size() == 9);
    cr_assert(std::ranges::count(it.runners, drained) == 1);
}

// Guards against work that the old router withdraws successfully although this system has started
// it, which would run it twice. The withdrawal races with the start.
Test(handover, withdrawn_work_is_never_run)
{
    unsigned withdrawn = 0;
    for (unsigned round = 0; round < 200; ++round) {
        entry_group it(2);
        it.send("POST", "w/offer", "op-1");
        it.time.run_for(std::chrono::milliseconds(200 + round));
        const auto reply = it.send("POST", "w/withdraw", "op-2");
        it.time.run_for(3s);
        const auto& head = reply->head;
        const bool accepted = head && head->status == 200;
        cr_assert(accepted != it.executed_work.contains("w"), "round %u", round);
        withdrawn += accepted ? 1 : 0;
    }
    cr_assert(withdrawn > 20 && withdrawn < 180, "%u of 200 were withdrawn", withdrawn);
}

// Guards against work that is lost or completed twice, and against a repeated request that gets
// another answer, when replies of the log are lost.
Test(handover, lost_append_replies_are_resolved)
{
    std::mt19937 random(20261204);
    for (unsigned round = 0; round < 60; ++round) {
        entry_group it(2);
        for (int n = 0; n < 4; ++n) {
            it.log.append_outcomes.push_back(static_cast<append_outcome>(random() % 4));
        }
        const auto first = it.send("POST", "w/offer", "op-1");
        it.time.run_for(30s);
        const auto repeat = it.send("POST", "w/offer", "op-1");
        it.time.run_for(1s);
        const auto& head = first->head;
        const auto status = head ? head->status : 0;
        cr_assert(status == 200 || status == 503, "round %u: %u", round, status);
        const auto& repeat_head = repeat->head;
        cr_assert(repeat_head && repeat_head->status == status && repeat->body == first->body,
                  "round %u", round);
        it.time.run_for(30s);
        cr_assert(it.executed_work.contains("w") == (status == 200), "round %u", round);
        cr_assert(it.state_of("w") ==
                      (status == 200 ? work_state::completed : work_state::with_old),
                  "round %u", round);
    }
}

// Guards against an offer that is accepted during a log outage, and against a result that is lost
// because the work ended during an outage.
Test(handover, outage_refuses_offers_and_keeps_results)
{
    entry_group it(2);
    it.log.outage = true;
    const auto refused = it.send("POST", "v/offer", "op-1");
    it.time.run_for(1s);
    parse_reply(refused, 503);
    it.log.outage = false;
    it.execution_time = 2s;
    it.send("POST", "w/offer", "op-1");
    it.time.run_for(1s);
    it.log.outage = true;
    it.time.run_for(60s);
    cr_assert(it.state_of("w") == work_state::started && it.executed_work.contains("w"));
    it.log.outage = false;
    it.time.run_for(5s);
    cr_assert(it.state_of("w") == work_state::completed && it.runners.size() == 1);
    cr_assert(it.state_of("v") == work_state::with_old);
}

// Guards against work that is not given back to the old router although no entry could run it, and
// against work that is given back although a lost runner may have run it.
Test(handover, work_that_was_not_run_is_given_back)
{
    entry_group it(2);
    it.refuse_executions = true;
    it.send("POST", "w/offer", "op-1");
    it.time.run_for(2s);
    const auto state = parse_reply(it.send("GET", "w"), 200);
    cr_assert(state.at("owner") == "old" && it.runners.size() == 1);
    it.refuse_executions = false;
    it.hold_executions = true;
    it.send("POST", "w/offer", "op-2");
    it.time.run_for(2s);
    it.remove_live(it.runners.back());
    it.hold_executions = false;
    it.refuse_executions = true;
    it.time.run_for(20s);
    cr_assert(it.state_of("w") == work_state::started);
    it.refuse_executions = false;
    it.time.run_for(5s);
    cr_assert(it.state_of("w") == work_state::completed && it.executed_work.contains("w"));
}

// Guards against requests that the old router may not make because it does not own the work, and
// against invalid requests that are answered without a typed error.
Test(handover, interface_refuses_invalid_requests)
{
    entry_group it(1);
    it.hold_executions = true;
    parse_reply(it.send("GET", "w"), 404);
    parse_reply(it.send("POST", "w/offer"), 400);
    parse_reply(it.send("POST", "w/offer", "op-1", "{"), 400);
    parse_reply(it.send("POST", "w/offer", "op-1", "[]"), 400);
    parse_reply(it.send("POST", "w/offer", "op-1", "\"" + std::string(300'000, 'a') + "\""), 413);
    parse_reply(it.send("POST", "w/offer", "op-1", "{}"), 400);
    parse_reply(it.send("POST", "w/start", "op-1"), 404);
    parse_reply(it.send("POST", "w%00/offer", "op-1"), 400);
    parse_reply(it.send("GET", "w/offer", "op-1"), 400);
    it.send("POST", "w/offer", "op-1");
    it.time.run_for(1s);
    for (const auto* action : {"offer", "withdraw", "return", "complete"}) {
        const auto reply = it.send("POST", fmt::format("w/{}", action), "op-9");
        it.time.run_for(1s);
        const auto message = parse_reply(reply, 409).at("error").at("message").get<std::string>();
        cr_assert(message == "work \"w\" is started and owned by the new router since version 2");
    }
    const auto done = it.send("POST", "v/complete", "op-1");
    it.time.run_for(1s);
    cr_assert(parse_reply(done, 200).at("owner") == "old");
    const auto late = it.send("POST", "v/offer", "op-2");
    it.time.run_for(1s);
    parse_reply(late, 409);
}

// Guards against work that is handed over by records of another history, after the log was restored
// and has grown past the offset that was read.
Test(handover, records_of_a_restored_log_are_not_taken_for_later_ones)
{
    entry_group group(1);
    group.send("POST", "w1/offer", "op-1");
    group.time.run_for(5s);
    const auto state = group.state_of("w1");
    cr_assert(group.log.records().size() > 1);
    const auto records = group.log.records().size();
    group.log.restore(1);
    while (group.log.records().size() < records) {
        group.log.store("another history");
    }
    group.log.store(group.log.records().front());
    const auto appends = group.log.appends;
    group.send("POST", "w2/offer", "op-2");
    group.time.run_for(20s);
    cr_assert(group.log.appends == appends);
    cr_assert(!group.controllers.front()->find("w2").has_value());
    cr_assert(group.state_of("w1") == state);
}
