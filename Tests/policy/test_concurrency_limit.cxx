#include "policy/concurrency_limit.h"

#include <criterion/criterion.h>

using medlaryoke::duration;
using medlaryoke::policy::call_outcome;
using medlaryoke::policy::concurrency_limit;
using namespace std::chrono_literals;

namespace {

/// Keeps an upstream saturated that serves `capacity` calls at once without queueing.
void run_saturated(concurrency_limit& limit, unsigned capacity, duration unloaded, int calls)
{
    for (int i = 0; i < calls; ++i) {
        while (limit.try_acquire()) {
        }
        const auto n = std::max(limit.in_flight(), capacity);
        limit.release(unloaded * n / capacity, call_outcome::succeeded);
    }
}

} // namespace

// Guards against a limit that stays at its initial value, too low or too high.
Test(concurrency_limit, finds_the_capacity_from_both_sides)
{
    for (const unsigned initial : {2U, 200U}) {
        concurrency_limit limit({.initial = initial});
        run_saturated(limit, 40, 100ms, 20'000);
        cr_assert(limit.limit() >= 36 && limit.limit() <= 90, "limit %u from %u", limit.limit(),
                  initial);
    }
}

// Guards against refusals being ignored, and against a burst of them taking the limit to nothing.
Test(concurrency_limit, backs_off_once_for_a_burst_of_refusals)
{
    concurrency_limit limit({.initial = 100});
    for (int i = 0; i < 50; ++i) {
        limit.try_acquire();
    }
    for (int i = 0; i < 50; ++i) {
        limit.release(0ns, call_outcome::refused);
    }
    cr_assert(limit.limit() == 80, "limit %u", limit.limit());
}

// Guards against cancelled calls, which end early or late, teaching a wrong latency.
Test(concurrency_limit, learns_nothing_from_abandoned_calls)
{
    concurrency_limit limit({.initial = 10});
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(limit.try_acquire());
        limit.release(duration::zero(), call_outcome::abandoned);
    }
    cr_assert(limit.limit() == 10 && limit.in_flight() == 0);
}

// Guards against a fault taking the limit to nothing, from which it recovers slowly.
Test(concurrency_limit, keeps_the_limit_when_calls_fail)
{
    concurrency_limit limit({.initial = 10});
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(limit.try_acquire());
        limit.release(1ms, call_outcome::failed);
    }
    cr_assert(limit.limit() == 10 && limit.in_flight() == 0);
}

// Guards against a slot that is lost or handed out twice.
Test(concurrency_limit, never_admits_more_than_the_limit)
{
    concurrency_limit limit({.initial = 5, .minimum = 1, .maximum = 5});
    for (int i = 0; i < 5; ++i) {
        cr_assert(limit.try_acquire());
    }
    cr_assert(!limit.try_acquire());
    limit.release(1ms, call_outcome::refused);
    cr_assert(limit.in_flight() == 4 && limit.limit() == 4);
    cr_assert(!limit.try_acquire());
}
