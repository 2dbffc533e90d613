#include <algorithm>
#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "policy/shared_rate_limits.h"
#include "policy/upstream_scheduler.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t gateway = 1;
constexpr std::uint64_t service = 7;
const time_point start{100s};

/// A scheduler and limits for upstreams u0, u1, and so on.
struct limited_scheduler {
    explicit limited_scheduler(unsigned count)
    {
        std::vector<std::uint64_t> incarnations;
        for (unsigned n = 0; n < count; ++n) {
            model::upstream_entry entry;
            entry.id = "u" + std::to_string(n);
            entry.slots = 4;
            upstreams.push_back(entry);
            incarnations.push_back(model::incarnation_hash(entry));
        }
        limits.set_upstreams(service, incarnations);
        scheduler.set_rate_limits(limits);
        scheduler.set_upstreams(upstreams, "dc-1");
    }

    void limit(unsigned index, double per_second)
    {
        limits.add({model::incarnation_hash(upstreams[index]), per_second, start},
                   statement_source::answer);
    }

    void permit(unsigned index, unsigned count)
    {
        limits.accept({gateway, model::incarnation_hash(upstreams[index]), count}, start);
    }

    void push(std::uint64_t id, unsigned priority = 0)
    {
        scheduled_request request;
        request.id = id;
        request.priority = priority;
        request.arrived = start;
        request.wait_until = start + 300ms;
        request.may_probe = true;
        scheduler.push(request);
    }

    /// @return requests that were sent to an upstream
    std::size_t sent_to(unsigned index)
    {
        const auto key = hash64(upstreams[index].id);
        const auto ready = scheduler.take_ready(start);
        return static_cast<std::size_t>(std::ranges::count(ready, key, &assignment::upstream));
    }

    std::vector<model::upstream_entry> upstreams;
    shared_rate_limits limits{gateway, {}, 1};
    upstream_scheduler scheduler{{}, 1};
};

} // namespace

// Guards against a limited upstream that is chosen because it has the lowest load.
Test(scheduler_rate_limits, a_limited_upstream_gets_what_is_permitted)
{
    limited_scheduler it(2);
    it.limit(0, 2);
    it.permit(0, 1);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        it.push(id);
    }
    cr_expect(it.sent_to(0) == 1);
    cr_expect(it.scheduler.running() == 4);
}

// Guards against requests that a limited upstream does not take and that are added to the others
// beyond the run limit, which makes all ranks of a lock-step group late.
Test(scheduler_rate_limits, others_get_no_more_than_their_run_limit)
{
    limited_scheduler it(4);
    it.limit(0, 1);
    it.limit(1, 1);
    it.scheduler.set_limits(2, 1e9);
    for (std::uint64_t id = 1; id <= 8; ++id) {
        it.push(id);
    }
    cr_expect(it.scheduler.take_ready(start).size() == 4, "two at each of the two others");
    cr_expect(it.scheduler.mean_running() == 2, "limited upstreams don't dilute the mean");
}

// Guards against a test of an ejected upstream that exceeds its limit.
Test(scheduler_rate_limits, a_probe_needs_a_permit)
{
    limited_scheduler it(2);
    it.limit(0, 1);
    for (unsigned n = 0; n < 20; ++n) {
        it.scheduler.on_result(hash64("u0"), call_outcome::failed, std::nullopt, start - 10s);
    }
    it.push(1);
    cr_expect(it.sent_to(0) == 0);
    it.permit(0, 1);
    it.push(2);
    cr_expect(it.sent_to(0) == 1);
}

// Guards against permits that pass unused because less urgent requests may not use the reserve.
Test(scheduler_rate_limits, less_urgent_requests_use_permits)
{
    limited_scheduler it(1);
    it.limit(0, 1);
    it.permit(0, 1);
    it.push(1, 2);
    cr_expect(it.sent_to(0) == 1);
}

// Guards against less urgent requests that take a permit before a waiting urgent one.
Test(scheduler_rate_limits, urgent_requests_get_permits_first)
{
    limited_scheduler it(1);
    it.limit(0, 1);
    it.push(1, 2);
    it.push(2, 0);
    it.permit(0, 1);
    const auto ready = it.scheduler.take_ready(start);
    cr_assert(ready.size() == 1);
    cr_expect(ready[0].request == 2);
}

// Guards against requests that are held although the limits admit none of them in time.
Test(scheduler_rate_limits, what_limits_do_not_admit_in_time_expires_at_once)
{
    limited_scheduler it(2);
    it.limit(0, 10);
    it.limit(1, 10);
    for (unsigned n = 0; n < 200; ++n) {
        it.limits.on_request(service, start);
    }
    for (std::uint64_t id = 1; id <= 12; ++id) {
        it.push(id);
    }
    cr_expect(it.scheduler.take_ready(start).empty());
    // Twenty permits a second come within 300 ms for five requests.
    cr_expect(it.scheduler.take_expired(start).size() == 7);
}

// Guards against requests that expire although an upstream without a limit may become free.
Test(scheduler_rate_limits, requests_wait_for_upstreams_without_a_limit)
{
    limited_scheduler it(2);
    it.limit(0, 0);
    it.scheduler.set_limits(1, 1e9);
    it.push(1);
    it.push(2);
    cr_expect(it.scheduler.take_ready(start).size() == 1);
    cr_expect(it.scheduler.take_expired(start).empty());
}
