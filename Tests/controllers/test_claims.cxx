#include "controllers/claim_controller.h"

#include <random>
#include <string>

#include <criterion/criterion.h>

#include "fakes/agent_fleet.h"

using namespace medlaryoke;
using namespace std::chrono_literals;
using medlaryoke::fakes::agent_fleet;
using medlaryoke::fakes::faulty_log;

namespace {

std::size_t count_calls(const agent_fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& agent : fleet.agents) {
        count += agent->upstream.calls.size();
    }
    return count;
}

} // namespace

// Guards against requests with the same key that run at two agents (P4), in any order in which the
// log answers the agents.
Test(claims, duplicates_over_two_agents_run_once)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        agent_fleet fleet(2);
        std::vector<std::shared_ptr<fakes::seen_dispatch>> dispatches;
        for (int n = 0; n < 4; ++n) {
            dispatches.push_back(fleet.dispatch(random() % 2, "unlock", "key"));
            for (auto steps = random() % 6; steps > 0; --steps) {
                fleet.step();
            }
        }
        fleet.advance(500ms);
        cr_assert_eq(count_calls(fleet), 1, "seed %u", seed);
        const std::size_t winner = fleet.agents[0]->upstream.calls.empty() ? 1 : 0;
        fleet.agents[winner]->upstream.calls[0]->answer("unlocked");
        fleet.advance(500ms);
        for (const std::size_t agent : {0U, 1U}) {
            const auto repeat = fleet.dispatch(agent, "unlock", "key");
            fleet.advance(500ms);
            cr_assert_str_eq(repeat->end.c_str(), "finished", "seed %u", seed);
            cr_assert_str_eq(repeat->data.c_str(), "unlocked");
        }
        cr_assert_eq(count_calls(fleet), 1, "seed %u", seed);
        const auto finished =
            std::ranges::count(dispatches, "finished", [](const auto& it) { return it->end; });
        cr_assert_geq(finished, 1, "seed %u", seed);
    }
}

// Guards against requests with the same key that run at two agents (P4), because the log was
// restored and each agent reads on from another offset.
Test(claims, no_request_runs_twice_after_the_log_was_restored)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        agent_fleet fleet(2);
        for (const auto& agent : fleet.agents) {
            agent->claims->start();
        }
        fleet.advance(500ms);
        constexpr unsigned keys = 8;
        const auto dispatch = [&](unsigned n) {
            const auto key = "key" + std::to_string(n);
            fleet.dispatch(random() % 2, key, key);
        };
        for (unsigned n = 0; n < keys / 2; ++n) {
            dispatch(n);
            fleet.advance(500ms);
        }
        for (const auto& agent : fleet.agents) {
            for (const auto& call : agent->upstream.calls) {
                call->answer("unlocked");
            }
        }
        fleet.advance(500ms);
        fleet.log.restore(random() % (keys / 2));
        for (int n = 0; n < 30; ++n) {
            dispatch(random() % keys);
            for (auto steps = random() % 12; steps > 0; --steps) {
                fleet.step();
            }
        }
        fleet.advance(2s);
        std::map<std::string, int> runs;
        for (const auto& agent : fleet.agents) {
            for (const auto& call : agent->upstream.calls) {
                ++runs[call->request_id];
            }
        }
        for (const auto& [key, count] : runs) {
            cr_assert_eq(count, 1, "seed %u: %s ran %d times", seed, key.c_str(), count);
        }
        cr_assert_geq(runs.size(), keys / 2, "seed %u", seed);
    }
}

// Guards against a second run of a request after the agent that ran it restarted.
Test(claims, restart_between_claim_and_completion_leaves_the_key_unknown)
{
    agent_fleet fleet(1);
    const auto first = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    cr_assert_eq(count_calls(fleet), 1);
    fleet.restart_agent(0);
    fleet.advance(2s);
    cr_assert_str_eq(first->end.c_str(), "unknown");
    const auto repeat = fleet.dispatch(0, "pay", "key");
    fleet.advance(500ms);
    cr_assert_str_eq(repeat->end.c_str(), "unknown");
    cr_assert_eq(count_calls(fleet), 0);
}

// Guards against requests that run without a confirmed claim, and against a key that is never
// released because the log's answer to the append was lost or late.
Test(claims, unconfirmed_claim_does_not_run_and_is_released)
{
    for (const auto mode : {faulty_log::fault::answer_lost, faulty_log::fault::stored_late,
                            faulty_log::fault::outage, faulty_log::fault::unreadable}) {
        agent_fleet fleet(2);
        fleet.log.mode = mode;
        const auto first = fleet.dispatch(0, "pay", "key");
        fleet.advance(300ms);
        cr_assert_str_eq(first->end.c_str(), "refused");
        cr_assert_eq(first->reason, wire::REFUSAL_REASON_CLAIM_UNAVAILABLE);
        cr_assert_eq(count_calls(fleet), 0);
        fleet.log.mode = faulty_log::fault::none;
        fleet.advance(2s);
        fleet.log.store_late_records();
        const auto second = fleet.dispatch(1, "pay", "key");
        fleet.advance(300ms);
        cr_assert_eq(count_calls(fleet), 1, "fault %d", static_cast<int>(mode));
        fleet.agents[1]->upstream.calls[0]->answer("paid");
        fleet.advance(300ms);
        cr_assert_str_eq(second->end.c_str(), "finished");
    }
}

// Guards against a key that stays claimed although the request did not reach the upstream, and
// against a key that is released although the request may have run.
Test(claims, claim_is_released_if_nothing_was_sent)
{
    agent_fleet fleet(2);
    const auto first = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    fleet.agents[0]->upstream.calls.at(0)->events.on_failure(false, "connection refused");
    fleet.advance(200ms);
    cr_assert_eq(first->reason, wire::REFUSAL_REASON_UPSTREAM_DOWN);
    fleet.dispatch(1, "pay", "key");
    fleet.advance(200ms);
    cr_assert_eq(fleet.agents[1]->upstream.calls.size(), 1);
    // The upstream may have run this request, so the key must stay claimed.
    fleet.agents[1]->upstream.calls.at(0)->events.on_failure(true, "connection reset");
    fleet.advance(200ms);
    const auto third = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    cr_assert_str_eq(third->end.c_str(), "unknown");
    cr_assert_eq(count_calls(fleet), 2);
}

// Guards against a key that stays claimed after an overloaded upstream did not run the request, and
// against passing status 429 on as the answer to the request.
Test(claims, overloaded_upstream_is_a_refusal_that_frees_the_key)
{
    agent_fleet fleet(1);
    const auto first = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    auto& calls = fleet.agents[0]->upstream.calls;
    calls.at(0)->events.on_head({.status = 429, .headers = {}});
    fleet.advance(200ms);
    cr_assert_eq(first->reason, wire::REFUSAL_REASON_OVERLOADED);
    cr_assert(calls.at(0)->cancelled);
    const auto second = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    calls.at(1)->answer("paid");
    fleet.settle();
    cr_assert_str_eq(second->end.c_str(), "finished");
    cr_assert_eq(fleet.agents[0]->server->counts().load.running(), 0);
}

// Guards against an unknown outcome after a cancel: a call that is not idempotent must not be
// cancelled at the upstream, and its answer must be stored for repeats.
Test(claims, cancelled_call_completes_and_its_answer_is_stored)
{
    agent_fleet fleet(1);
    const auto first = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    fleet.session(0).cancel(first->id);
    fleet.advance(200ms);
    auto& call = *fleet.agents[0]->upstream.calls.at(0);
    cr_assert(!call.cancelled);
    call.answer("paid");
    const auto repeat = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    cr_assert_str_eq(repeat->data.c_str(), "paid");
    cr_assert_eq(fleet.agents[0]->server->counts().load.running(), 0);
}

// Guards against the loss of an answer when the log is unavailable at the end of the call.
Test(claims, completion_is_stored_after_a_log_outage)
{
    agent_fleet fleet(2);
    fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    fleet.log.mode = faulty_log::fault::outage;
    fleet.agents[0]->upstream.calls.at(0)->answer("paid");
    fleet.advance(3s);
    cr_assert_eq(fleet.agents[0]->claims->pending(), 1);
    const auto repeat = fleet.dispatch(0, "pay", "key");
    fleet.advance(200ms);
    cr_assert_str_eq(repeat->data.c_str(), "paid");
    fleet.log.mode = faulty_log::fault::none;
    fleet.advance(1s);
    cr_assert_eq(fleet.agents[0]->claims->pending(), 0);
    const auto elsewhere = fleet.dispatch(1, "pay", "key");
    fleet.advance(200ms);
    cr_assert_str_eq(elsewhere->data.c_str(), "paid");
}

// Guards against more appends than the platform's log can process: claims must share appends.
Test(claims, appends_are_batched)
{
    agent_fleet fleet(1, 100);
    const auto before = fleet.log.appends;
    for (int n = 0; n < 100; ++n) {
        fleet.dispatch(0, "pay", "key" + std::to_string(n));
        fleet.settle();
        fleet.executor.clock.advance(1ms);
    }
    fleet.advance(300ms);
    cr_assert_eq(count_calls(fleet), 100);
    cr_assert_leq(fleet.log.appends - before, 10, "one append in 20 ms, and few steps after that");
}
