#include "policy/concurrency_limit.h"

#include <numeric>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using medlaryoke::duration;
using medlaryoke::policy::call_outcome;
using medlaryoke::policy::concurrency_limit;
using namespace std::chrono_literals;

namespace {

/// Saturates a simulated upstream that runs `capacity` calls at once and queues further ones.
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

namespace {

struct release_event {
    double seconds;
    call_outcome outcome;
    unsigned in_flight;      ///< after the release
    unsigned peak_in_flight; ///< peak since the release before
};

/// Reference implementation that replays all releases and keeps the samples of a window in a list.
/// @return the limit after all releases
double replay(const std::vector<release_event>& events, double limit)
{
    std::vector<double> samples;
    unsigned window = 45, windows_below_ceiling = 0, peak_in_flight = 0, refusals = 0;
    std::size_t stale_calls = 0;
    double min_latency = 0, ceiling = 0, before_probe = 0;
    bool refused = false;
    for (const auto& it : events) {
        peak_in_flight = std::max(peak_in_flight, it.peak_in_flight);
        if (stale_calls > 0) {
            --stale_calls;
        }
        else if (it.outcome == call_outcome::succeeded) {
            samples.push_back(it.seconds);
        }
        else if (it.outcome == call_outcome::refused) {
            limit = refused ? limit : std::max(1.0, limit * 0.8);
            refused = ++refusals <= static_cast<unsigned>(limit);
            refusals = refused ? refusals : 0;
        }
        if (samples.size() < std::max<std::size_t>(10, static_cast<std::size_t>(limit))) {
            continue;
        }
        const auto mean_latency = std::accumulate(samples.begin(), samples.end(), 0.0) /
                                  static_cast<double>(samples.size());
        ++window;
        if (window == 51) {
            before_probe = limit;
            limit = std::max(1.0, limit / 2);
        }
        else if (window == 53) {
            const bool queued = mean_latency < min_latency * 0.8;
            limit = queued || refused ? limit : before_probe;
            window = queued ? 45 : 0;
            min_latency = mean_latency;
        }
        else if (window <= 50) {
            min_latency = min_latency == 0 ? mean_latency : std::min(min_latency, mean_latency);
            if (mean_latency > 1.5 * min_latency) {
                ceiling = limit;
                windows_below_ceiling = 0;
                stale_calls = it.in_flight;
                limit = std::max(1.0, limit * std::max(0.9, 1.5 * min_latency / mean_latency));
            }
            else if (!refused && peak_in_flight * 2 >= static_cast<unsigned>(limit)) {
                const bool hold = ++windows_below_ceiling < 10 && ceiling > 0;
                limit = hold ? std::max(limit, std::min(limit + 1, ceiling - 1)) : limit + 1;
            }
            limit = std::min(limit, 64.0);
        }
        samples.clear();
        peak_in_flight = it.in_flight;
        refused = false;
        refusals = 0;
    }
    return limit;
}

} // namespace

// Guards against wrong counts of windows, probes and decreases.
Test(concurrency_limit, agrees_with_the_reference_implementation)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        concurrency_limit limit({.initial = 16, .maximum = 64});
        std::vector<release_event> events;
        const auto capacity = 5 + random() % 30;
        for (int i = 0; i < 3'000; ++i) {
            while (random() % 8 != 0 && limit.try_acquire()) {
            }
            if (limit.in_flight() == 0) {
                continue;
            }
            const auto peak_in_flight = limit.in_flight();
            const auto latency = std::chrono::milliseconds(
                50 + random() % 20 +
                100 * (peak_in_flight > capacity ? peak_in_flight - capacity : 0));
            const auto draw = random() % 40;
            const auto outcome = draw == 0   ? call_outcome::refused
                                 : draw == 1 ? call_outcome::abandoned
                                 : draw == 2 ? call_outcome::failed
                                             : call_outcome::succeeded;
            limit.release(latency, outcome);
            events.push_back({std::chrono::duration<double>(latency).count(), outcome,
                              limit.in_flight(), peak_in_flight});
            if (i % 50 == 0) {
                cr_assert(limit.limit() == static_cast<unsigned>(replay(events, 16)),
                          "seed %lu step %d", seed, i);
            }
        }
    }
}

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

// Guards against refusals that are ignored, and against a burst of them that cuts the limit to the
// minimum.
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

// Guards against a limit that stays high although the upstream refuses every call.
Test(concurrency_limit, backs_off_further_while_refusals_continue)
{
    concurrency_limit limit({.initial = 100});
    for (int i = 0; i < 2'000; ++i) {
        limit.try_acquire();
        limit.release(0ns, call_outcome::refused);
    }
    cr_assert(limit.limit() == 1, "limit %u", limit.limit());
}

// Guards against cancelled calls, whose duration says nothing about the upstream, that change the
// limit.
Test(concurrency_limit, ignores_abandoned_calls)
{
    concurrency_limit limit({.initial = 10});
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(limit.try_acquire());
        limit.release(duration::zero(), call_outcome::abandoned);
    }
    cr_assert(limit.limit() == 10 && limit.in_flight() == 0);
}

// Guards against a fault that cuts the limit to the minimum, from which it recovers slowly.
Test(concurrency_limit, keeps_the_limit_when_calls_fail)
{
    concurrency_limit limit({.initial = 10});
    for (int i = 0; i < 1'000; ++i) {
        cr_assert(limit.try_acquire());
        limit.release(1ms, call_outcome::failed);
    }
    cr_assert(limit.limit() == 10 && limit.in_flight() == 0);
}

// Guards against slots that are lost or acquired twice.
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
