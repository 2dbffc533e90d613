#include "controllers/agent_server.h"

#include <random>

#include <criterion/criterion.h>

#include "fakes/agent_fleet.h"

using namespace medlaryoke;
using namespace std::chrono_literals;
using medlaryoke::fakes::agent_fleet;

// Guards against a request that runs although its caller was told that it did not (P3). It comes
// about when the dispatch frame arrives after the entry opened a new session.
Test(agent_protocol, late_dispatch_of_a_fenced_session_does_not_run)
{
    agent_fleet fleet(1);
    fleet.silence(0);
    const auto seen = fleet.dispatch(0, "a");
    fleet.advance(4s);
    cr_assert_str_eq(seen->end.c_str(), "refused");
    cr_assert_eq(seen->reason, wire::REFUSAL_REASON_OLD_SESSION);
    fleet.deliver_late(0);
    cr_assert(fleet.agents[0]->upstream.calls.empty());
    cr_assert(fleet.session(0).view().connected);
}

// Guards against a stream that is cut off, or misses or repeats data, after its connection went
// silent (P2).
Test(agent_protocol, stream_is_resumed_whole_after_silence)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    const auto call = fleet.agents[0]->upstream.calls.at(0);
    call->answer("one ", false);
    fleet.settle();
    cr_assert_str_eq(seen->data.c_str(), "one ");
    fleet.silence(0);
    call->answer("two ", false);
    fleet.advance(1s);
    call->answer("three ", false);
    fleet.advance(2s);
    call->answer("four");
    fleet.settle();
    cr_assert_str_eq(seen->data.c_str(), "one two three four");
    cr_assert_str_eq(seen->end.c_str(), "finished");
    cr_assert_eq(fleet.agents[0]->server->counts().resumed, 1);
}

// Guards against the loss of an answer that ended while the connection was silent.
Test(agent_protocol, end_during_silence_is_delivered)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    fleet.silence(0);
    fleet.agents[0]->upstream.calls.at(0)->answer("all");
    fleet.advance(3s);
    cr_assert_str_eq(seen->data.c_str(), "all");
    cr_assert_str_eq(seen->end.c_str(), "finished");
}

// Guards against unbounded memory for answers that silent entries did not receive, and against an
// answer without the data that the agent dropped from its replay buffer.
Test(agent_protocol, replay_buffer_is_bounded)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    fleet.silence(0);
    for (int n = 0; n < 3; ++n) {
        fleet.agents[0]->upstream.calls.at(0)->answer(std::string(600'000, 'x'), false);
    }
    cr_assert_leq(fleet.agents[0]->server->counts().replay_bytes, 1U << 20U);
    fleet.advance(3s);
    cr_assert_str_eq(seen->end.c_str(), "unknown");
    cr_assert_eq(seen->data.size(), 0);
    cr_assert(fleet.agents[0]->upstream.calls.at(0)->cancelled);
    cr_assert_eq(fleet.agents[0]->server->counts().replay_bytes, 0);
}

// Guards against the outcome "refused" for a dispatch that an earlier incarnation of the agent may
// have run, and against dispatches that stay open after a restart.
Test(agent_protocol, restart_of_the_agent_leaves_the_outcome_unknown)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    fleet.restart_agent(0);
    fleet.advance(1s);
    cr_assert_str_eq(seen->end.c_str(), "unknown");
    const auto next = fleet.dispatch(0, "b");
    fleet.settle();
    fleet.agents[0]->upstream.calls.at(0)->answer("b");
    fleet.settle();
    cr_assert_str_eq(next->end.c_str(), "finished");
}

// Guards against dispatches that stay open until their deadline after the agent was lost.
Test(agent_protocol, lost_agent_leaves_the_outcome_unknown_within_seconds)
{
    agent_fleet fleet(1);
    const auto sent = fleet.dispatch(0, "a");
    fleet.settle();
    fleet.isolate(0);
    fleet.advance(1600ms);
    const auto unsent = fleet.dispatch(0, "b");
    fleet.settle();
    cr_assert_str_eq(unsent->end.c_str(), "refused");
    cr_assert(sent->end.empty(), "the agent may still answer on a new connection");
    fleet.advance(4s);
    cr_assert_str_eq(sent->end.c_str(), "unknown");
    cr_assert_eq(fleet.session(0).in_flight(), 0);
}

// Guards against a shutdown that interrupts running or queued requests, or admits new ones (P6).
Test(agent_protocol, drain_finishes_what_was_admitted)
{
    agent_fleet fleet(1, 1);
    const auto running = fleet.dispatch(0, "a");
    const auto waiting = fleet.dispatch(0, "b");
    fleet.settle();
    auto& agent = *fleet.agents[0];
    agent.upstream.calls.at(0)->answer("a1 ", false);
    agent.server->set_leaving(true);
    fleet.settle();
    cr_assert(fleet.session(0).view().load.leaving(), "entries must be told at once");
    const auto refused = fleet.dispatch(0, "c");
    fleet.settle();
    cr_assert_eq(refused->reason, wire::REFUSAL_REASON_LEAVING);
    cr_assert(!agent.server->drained());
    agent.upstream.calls.at(0)->answer("a2");
    fleet.settle();
    fleet.silence(0);
    agent.upstream.calls.at(1)->answer("b");
    fleet.settle();
    cr_assert(!agent.server->drained(), "the entry has not received the last answer");
    for (int n = 0; n < 40 && !agent.server->drained(); ++n) {
        fleet.advance(100ms);
    }
    cr_assert(agent.server->drained());
    cr_assert_str_eq(running->data.c_str(), "a1 a2");
    cr_assert_str_eq(running->end.c_str(), "finished");
    cr_assert_str_eq(waiting->end.c_str(), "finished");
}

// Guards against slots that stay occupied after a cancel, and against requests that reach the
// upstream after their deadline.
Test(agent_protocol, cancel_and_deadline_free_the_agent)
{
    agent_fleet fleet(1, 1);
    const auto first = fleet.dispatch(0, "a");
    const auto expired = fleet.dispatch(0, "b", "", 300ms);
    const auto third = fleet.dispatch(0, "c");
    fleet.advance(500ms);
    auto& calls = fleet.agents[0]->upstream.calls;
    cr_assert_eq(calls.size(), 1);
    cr_assert_eq(expired->reason, wire::REFUSAL_REASON_DEADLINE);
    fleet.session(0).cancel(first->id);
    fleet.settle();
    cr_assert(calls.at(0)->cancelled);
    cr_assert_str_eq(calls.at(1)->request_id.c_str(), "c");
    calls.at(1)->answer("c");
    fleet.settle();
    cr_assert_str_eq(third->end.c_str(), "finished");
    cr_assert_eq(fleet.agents[0]->server->counts().load.running(), 0);
}

// Guards against a configuration that an agent receives late or not at all from its entry (P7).
Test(agent_protocol, the_newer_side_sends_its_configuration)
{
    agent_fleet fleet(1);
    auto& agent = *fleet.agents[0];
    const auto has_frame = [&](auto matches) {
        const bool found = std::ranges::any_of(fleet.config_frames, matches);
        fleet.config_frames.clear();
        return found;
    };
    fleet.entry_config_offset = 5;
    agent.config_offset = 2;
    fleet.dispatch(0, "a");
    fleet.settle();
    cr_assert(
        has_frame([](const wire::frame& it) { return it.config_request().from_offset() == 3; }),
        "a dispatch must show the agent that it is behind");
    wire::frame frame;
    frame.mutable_config_records()->set_snapshot_offset(8);
    fleet.session(0).send_config(frame);
    fleet.settle();
    cr_assert_eq(agent.config_offset, 8);
    fleet.advance(1s);
    cr_assert(
        has_frame([](const wire::frame& it) { return it.config_records().from_offset() == 6; }),
        "a heartbeat must show the agent that the entry is behind");
    cr_assert_eq(fleet.session(0).view().config_offset, 8);
    cr_assert_eq(fleet.session(0).view().confirmed_offset, 8);
}

// Guards against dispatches that never end after their link was closed.
Test(agent_protocol, closing_a_link_ends_its_dispatches)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    fleet.session(0).close();
    fleet.settle();
    cr_assert_str_eq(seen->end.c_str(), "unknown");
}

// Guards against an agent that goes on running requests of a lost entry, and against the outcome
// "refused" for such a request when the entry reconnects.
Test(agent_protocol, requests_of_a_silent_entry_are_cancelled_after_the_timeout)
{
    agent_fleet fleet(1);
    const auto seen = fleet.dispatch(0, "a");
    fleet.settle();
    for (int n = 0; n < 50; ++n) {
        fleet.executor.clock.advance(100ms);
        fleet.agents[0]->server->tick();
    }
    cr_assert(fleet.agents[0]->upstream.calls.at(0)->cancelled);
    cr_assert_eq(fleet.agents[0]->server->counts().load.running(), 0);
    fleet.advance(1s);
    cr_assert_str_eq(seen->end.c_str(), "unknown");
}

// Guards against dispatches that end never, twice or with a wrong outcome, and against keys that
// run twice, when connections go silent, agents restart and frames arrive late at random times
// (P2, P3, P4).
Test(agent_protocol, every_dispatch_ends_once_with_a_correct_outcome)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        agent_fleet fleet(2, 3);
        std::map<std::string, std::shared_ptr<fakes::seen_dispatch>> seen_by_id;
        std::vector<std::shared_ptr<fakes::scripted_upstream::call>> calls;
        const auto collect = [&](std::size_t agent) {
            auto& list = fleet.agents[agent]->upstream.calls;
            calls.insert(calls.end(), list.begin(), list.end());
        };
        for (int n = 0; n < 150; ++n) {
            const std::size_t agent = random() % 2;
            const auto event = random() % 20;
            if (event < 5) {
                const auto key = random() % 2 == 0 ? "" : std::to_string(random() % 6);
                const auto id = std::to_string(n) + "/" + key;
                seen_by_id[id] = fleet.dispatch(agent, id, key);
            }
            else if (event == 5) {
                fleet.silence(agent);
            }
            else if (event == 6) {
                fleet.deliver_late(agent);
            }
            else if (event == 7 && random() % 3 == 0) {
                collect(agent);
                fleet.restart_agent(agent);
            }
            else if (event < 12) {
                fleet.advance(std::chrono::milliseconds(random() % 900));
            }
            else if (!fleet.agents[agent]->upstream.calls.empty()) {
                auto& list = fleet.agents[agent]->upstream.calls;
                const auto& call = list[random() % list.size()];
                call->answer(call->request_id, random() % 2 == 0);
            }
            fleet.step();
        }
        fleet.advance(70s);
        collect(0);
        collect(1);
        std::map<std::string, int> runs_of_key;
        std::map<std::string, std::string> sent;
        for (const auto& call : calls) {
            cr_assert(sent.emplace(call->request_id, call->sent).second, "seed %u", seed);
            ++runs_of_key[call->request_id.substr(call->request_id.find('/') + 1)];
        }
        runs_of_key.erase("");
        for (const auto& [key, runs] : runs_of_key) {
            cr_assert_eq(runs, 1, "seed %u: key %s ran twice", seed, key.c_str());
        }
        for (const auto& [id, seen] : seen_by_id) {
            cr_assert(!seen->end.empty(), "seed %u: %s never ended", seed, id.c_str());
            cr_assert(seen->end != "refused" || !sent.contains(id), "seed %u: %s ran", seed,
                      id.c_str());
            cr_assert(seen->end != "finished" || !sent.contains(id) || seen->data == sent[id],
                      "seed %u: %s is not whole", seed, id.c_str());
        }
    }
}
