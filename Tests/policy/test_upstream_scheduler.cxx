#include "policy/upstream_scheduler.h"

#include <algorithm>
#include <chrono>
#include <set>

#include <criterion/criterion.h>

#include "base/digest.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

model::upstream_entry make_upstream(const std::string& id, unsigned slots = 4)
{
    model::upstream_entry entry;
    entry.id = id;
    entry.slots = slots;
    entry.data_centre = "dc-1";
    return entry;
}

scheduled_request make_request(std::uint64_t id, unsigned priority = 0)
{
    scheduled_request request;
    request.id = id;
    request.priority = priority;
    request.arrived = start;
    request.wait_until = start + 1s;
    return request;
}

/// Makes a scheduler with upstreams u0, u1, and so on.
upstream_scheduler make_scheduler(unsigned count, unsigned slots = 4)
{
    upstream_scheduler scheduler({}, 1);
    std::vector<model::upstream_entry> upstreams;
    for (unsigned n = 0; n < count; ++n) {
        upstreams.push_back(make_upstream("u" + std::to_string(n), slots));
    }
    scheduler.set_upstreams(upstreams, "dc-1");
    return scheduler;
}

/// Pushes requests one by one and reports the first event of each dispatched one at once.
std::vector<assignment> send(upstream_scheduler& scheduler, unsigned count, unsigned priority = 0)
{
    std::vector<assignment> sent;
    static std::uint64_t id = 1000;
    for (unsigned n = 0; n < count; ++n) {
        scheduler.push(make_request(++id, priority));
        for (const auto& it : scheduler.take_ready(start)) {
            scheduler.on_started(it.upstream, 0);
            sent.push_back(it);
        }
    }
    return sent;
}

} // namespace

// Guards against an uneven load: in a lock-step group all ranks wait for the fullest one.
Test(upstream_scheduler, spreads_requests_evenly)
{
    auto scheduler = make_scheduler(4);
    const auto sent = send(scheduler, 8);
    cr_assert(sent.size() == 8);
    for (const auto& [upstream, count] : scheduler.own_load()) {
        cr_assert(count == 2);
    }
}

// Guards against gateways that all fill the same upstream because each counts only its own
// requests.
Test(upstream_scheduler, counts_load_of_other_gateways)
{
    auto scheduler = make_scheduler(2);
    scheduler.set_remote_load({{hash64("u0"), 3}});
    const auto sent = send(scheduler, 3);
    cr_assert(
        std::ranges::all_of(sent, [](const auto& it) { return it.upstream == hash64("u1"); }));
}

// Guards against less urgent requests that take the last slots before urgent requests arrive.
Test(upstream_scheduler, reserves_capacity_for_urgent_requests)
{
    auto scheduler = make_scheduler(4, 10);
    const auto less_urgent = send(scheduler, 50, 2);
    cr_assert(less_urgent.size() < 40);
    cr_assert(less_urgent.size() + send(scheduler, 50, 0).size() == 40);
}

// Guards against a flood of urgent requests that starves the others: the platform requires that the
// served fraction of each priority is at least a quarter of the served fraction of all requests.
Test(upstream_scheduler, serves_less_urgent_requests_during_a_flood)
{
    auto scheduler = make_scheduler(1, 1);
    std::uint64_t id = 0;
    unsigned sent = 0;
    unsigned less_urgent = 0;
    for (int n = 0; n < 400; ++n) {
        scheduler.push(make_request(++id, 0));
        if (n % 4 == 0) {
            scheduler.push(make_request(1'000'000 + ++id, 2));
        }
        for (const auto& it : scheduler.take_ready(start)) {
            ++sent;
            less_urgent += it.request > 1'000'000 ? 1 : 0;
            scheduler.on_end(it.upstream, 0, start);
        }
        scheduler.push(make_request(++id, 0)); // one more request than can be served
    }
    constexpr double offered = 900;
    constexpr double offered_less_urgent = 100;
    cr_assert(less_urgent / offered_less_urgent >= 0.25 * sent / offered, "%u of %u", less_urgent,
              sent);
    const auto urgent = sent - less_urgent;
    cr_assert(less_urgent >= scheduler_options{}.starvation_credit * urgent - 1, "%u of %u",
              less_urgent, sent);
    cr_assert(less_urgent * 8 <= sent, "%u of %u", less_urgent, sent);
}

// Guards against a queue that serves requests in order of arrival while urgent ones wait.
Test(upstream_scheduler, urgent_requests_go_first)
{
    auto scheduler = make_scheduler(1, 1);
    const auto running = send(scheduler, 1);
    auto lower_rank = make_request(1, 0);
    lower_rank.organisation_rank = 1;
    auto retry = make_request(4, 0);
    retry.is_retry = true;
    for (const auto& it : {lower_rank, make_request(2, 2), make_request(3, 0), retry}) {
        scheduler.push(it);
    }
    std::vector<std::uint64_t> order;
    for (int n = 0; n < 4; ++n) {
        scheduler.on_end(running.front().upstream, 0, start);
        for (const auto& it : scheduler.take_ready(start)) {
            order.push_back(it.request);
        }
    }
    cr_assert(order == std::vector<std::uint64_t>({4, 3, 2, 1}));
}

// Guards against a gateway that exceeds the limit on running requests because it ignores the
// requests of other gateways.
Test(upstream_scheduler, respects_the_limit_on_mean_running_requests)
{
    auto scheduler = make_scheduler(4, 12);
    scheduler.set_limits(5.5, 1e9);
    scheduler.set_remote_load({{hash64("u0"), 4}, {hash64("u1"), 4}});
    cr_assert(send(scheduler, 50).size() == 14);
}

// Guards against requests that wait until they expire although the completion rate shows that no
// slot becomes free for them.
Test(upstream_scheduler, expires_unreachable_requests_early)
{
    auto scheduler = make_scheduler(1, 10);
    const auto running = send(scheduler, 10);
    cr_assert(running.size() == 10);
    for (int n = 0; n < 5; ++n) { // a completion rate of five per second
        scheduler.on_end(running.front().upstream, 0, start);
    }
    cr_assert(send(scheduler, 5).size() == 5);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        scheduler.push(make_request(id));
    }
    const auto expired = scheduler.take_expired(start + 10ms);
    cr_assert(expired == std::vector<std::uint64_t>({6, 7, 8}));
}

// Guards against requests to upstreams that are draining or have just refused a request.
Test(upstream_scheduler, avoids_draining_and_refusing_upstreams)
{
    auto scheduler = make_scheduler(3);
    auto draining = make_upstream("u0");
    draining.draining = true;
    scheduler.set_upstreams({draining, make_upstream("u1"), make_upstream("u2")}, "dc-1");
    scheduler.on_result(hash64("u1"), call_outcome::refused, std::nullopt, start);
    const auto sent = send(scheduler, 3);
    cr_assert(sent.size() == 3);
    cr_assert(
        std::ranges::all_of(sent, [](const auto& it) { return it.upstream == hash64("u2"); }));
    cr_assert(!scheduler.is_usable(hash64("u0")));
}

// Guards against an upstream that attracts requests because it fails them at once and so has the
// lowest load.
Test(upstream_scheduler, ejects_failing_upstreams_and_probes_them)
{
    auto scheduler = make_scheduler(4);
    const auto bad = hash64("u0");
    for (int n = 0; n < 10; ++n) {
        scheduler.on_result(bad, call_outcome::failed, std::nullopt, start);
    }
    const auto sent = send(scheduler, 6);
    cr_assert(std::ranges::none_of(sent, [bad](const auto& it) { return it.upstream == bad; }));
    auto probe = make_request(1);
    probe.may_probe = true;
    scheduler.push(probe);
    const auto probed = scheduler.take_ready(start + 5s);
    cr_assert(probed.size() == 1 && probed.front().upstream == bad);
}

// Guards against a slow upstream that gets as many requests as the others.
Test(upstream_scheduler, prefers_upstreams_that_are_not_slow)
{
    auto scheduler = make_scheduler(3, 10);
    for (int n = 0; n < 20; ++n) {
        scheduler.on_result(hash64("u0"), call_outcome::succeeded, 300ms, start);
        scheduler.on_result(hash64("u1"), call_outcome::succeeded, 30ms, start);
        scheduler.on_result(hash64("u2"), call_outcome::succeeded, 30ms, start);
    }
    const auto sent = send(scheduler, 8);
    cr_assert(
        std::ranges::none_of(sent, [](const auto& it) { return it.upstream == hash64("u0"); }));
}

// Guards against slots that are never released because the upstream left the list while its
// requests were running.
Test(upstream_scheduler, removes_an_unlisted_upstream_after_its_last_request)
{
    auto scheduler = make_scheduler(1);
    const auto sent = send(scheduler, 1);
    scheduler.set_upstreams({}, "dc-1");
    cr_assert(scheduler.running() == 1);
    scheduler.on_end(sent.front().upstream, 0, start);
    cr_assert(scheduler.running() == 0);
    cr_assert(send(scheduler, 1).empty());
}

// Guards against a long prompt whose prefill delays the step of every rank beyond the longest
// allowed gap between events, and against short prompts that wait behind a long one.
Test(upstream_scheduler, long_prompts_wait_until_an_engine_has_no_prefill)
{
    auto scheduler = make_scheduler(2);
    scheduler.set_limits(4, 1000);
    const auto add = [&scheduler](std::uint64_t id, double prompt_tokens) {
        auto request = make_request(id);
        request.prompt_tokens = prompt_tokens;
        scheduler.push(request);
    };
    add(1, 700);
    add(2, 700);
    add(3, 700);
    add(4, 300);
    auto sent = scheduler.take_ready(start);
    cr_assert(sent.size() == 3);
    cr_assert(sent[2].request == 4);
    scheduler.on_started(sent[0].upstream, 700);
    scheduler.on_started(sent[1].upstream, 700);
    sent = scheduler.take_ready(start);
    cr_assert(sent.size() == 1 && sent[0].request == 3);
}

// Guards against limits that refuse everything while nothing runs: learned under a load that is
// over, they would never change again. Load: all streams of slow engines end at once in a crash,
// while the limits are at their lowest and the prompts are longer than they admit.
Test(upstream_scheduler, idle_upstream_takes_a_request_whatever_the_limits)
{
    auto scheduler = make_scheduler(3);
    scheduler.set_limits(0.5, 100);
    for (std::uint64_t n = 1; n <= 4; ++n) {
        auto request = make_request(n);
        request.prompt_tokens = 800;
        scheduler.push(request);
    }
    std::set<std::uint64_t> used;
    const auto ready = scheduler.take_ready(start);
    for (const auto& it : ready) {
        used.insert(it.upstream);
    }
    cr_assert(ready.size() == 3 && used.size() == 3);
    cr_assert(scheduler.waiting() == 1);
}

// Guards against a gateway that takes no part because others have filled some upstreams beyond its
// own limit. Load: others run at their slots, one upstream has just come back and runs nothing.
Test(upstream_scheduler, idle_upstream_is_used_beside_overfilled_ones)
{
    auto scheduler = make_scheduler(4);
    scheduler.set_limits(2, 1000);
    scheduler.set_remote_load({{hash64("u0"), 4}, {hash64("u1"), 4}, {hash64("u2"), 4}});
    const auto sent = send(scheduler, 2);
    cr_assert(sent.size() == 1 && sent.front().upstream == hash64("u3"));
}

// Guards against an upstream that no request may probe and that stays out of use for good. Load:
// a service whose requests must not be repeated, one upstream of which has failed for a while.
Test(upstream_scheduler, ejected_upstream_returns_without_probes)
{
    auto scheduler = make_scheduler(3, 1);
    for (int n = 0; n < 5; ++n) {
        scheduler.on_result(hash64("u0"), call_outcome::failed, std::nullopt, start);
    }
    for (std::uint64_t n = 1; n <= 3; ++n) {
        auto request = make_request(n);
        request.wait_until = start + 60s;
        scheduler.push(request);
    }
    cr_assert(scheduler.take_ready(start).size() == 2);
    (void)scheduler.take_expired(start + 4s);
    cr_assert(scheduler.take_ready(start + 4s).empty());
    (void)scheduler.take_expired(start + 7s);
    const auto ready = scheduler.take_ready(start + 7s);
    cr_assert(ready.size() == 1 && ready.front().upstream == hash64("u0"));
    scheduler.on_result(hash64("u0"), call_outcome::failed, std::nullopt, start + 7s);
    scheduler.on_end(hash64("u0"), 0, start + 7s);
    scheduler.push(make_request(9));
    cr_assert(scheduler.take_ready(start + 7s).empty(), "one failure ejects it again");
}

// Guards against requests that are sent to ranks of an incomplete group, which refuse them, beside
// a complete one; and against a service that waits for entries while its only group is complete
// again. Load: one of two groups has lost a rank, and its ranks are the idle ones.
Test(upstream_scheduler, ranks_of_an_incomplete_group_get_nothing_beside_a_complete_one)
{
    upstream_scheduler scheduler({}, 1);
    std::vector<model::upstream_entry> upstreams;
    for (unsigned n = 0; n < 4; ++n) {
        upstreams.push_back(make_upstream("u" + std::to_string(n)));
        upstreams.back().group = model::group_membership{n < 2 ? "a" : "b", 1, n % 2, 2, n >= 2};
    }
    scheduler.set_upstreams(upstreams, "dc-1");
    const auto sent = send(scheduler, 8);
    cr_assert(sent.size() == 8);
    for (const auto& it : sent) {
        cr_assert(it.upstream == hash64("u2") || it.upstream == hash64("u3"));
    }
    cr_assert(send(scheduler, 1).empty(), "the complete group is full");
    cr_assert(scheduler.mean_running() == 4, "the mean is that of the complete group");
    for (auto& upstream : upstreams) {
        upstream.group->open = false;
    }
    scheduler.set_upstreams(upstreams, "dc-1");
    cr_assert(!send(scheduler, 1).empty());
}
