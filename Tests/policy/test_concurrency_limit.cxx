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

namespace {

struct release_event {
    double seconds;
    call_outcome outcome;
    unsigned in_flight; ///< afterwards
    unsigned most;      ///< calls in flight at once since the release before
};

/// Naive version: replays all releases from the start and keeps the samples of a window in a list.
double replay(const std::vector<release_event>& events, double limit)
{
    std::vector<double> samples;
    unsigned window = 45, steady = 0, most = 0, refusals = 0;
    std::size_t skip = 0;
    double best = 0, ceiling = 0, before_probe = 0;
    bool refused = false;
    for (const auto& it : events) {
        most = std::max(most, it.most);
        if (skip > 0) {
            --skip;
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
        const auto mean = std::accumulate(samples.begin(), samples.end(), 0.0) /
                          static_cast<double>(samples.size());
        ++window;
        if (window == 51) {
            before_probe = limit;
            limit = std::max(1.0, limit / 2);
        }
        else if (window == 53) {
            const bool queued = mean < best * 0.8;
            limit = queued || refused ? limit : before_probe;
            window = queued ? 45 : 0;
            best = mean;
        }
        else if (window <= 50) {
            best = best == 0 ? mean : std::min(best, mean);
            if (mean > 1.5 * best) {
                ceiling = limit;
                steady = 0;
                skip = it.in_flight;
                limit = std::max(1.0, limit * std::max(0.9, 1.5 * best / mean));
            }
            else if (!refused && most * 2 >= static_cast<unsigned>(limit)) {
                const bool hold = ++steady < 10 && ceiling > 0;
                limit = hold ? std::max(limit, std::min(limit + 1, ceiling - 1)) : limit + 1;
            }
            limit = std::min(limit, 64.0);
        }
        samples.clear();
        most = it.in_flight;
        refused = false;
        refusals = 0;
    }
    return limit;
}

} // namespace

// Guards against windows, probes and cuts being counted wrongly in the running state.
Test(concurrency_limit, agrees_with_the_naive_version)
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
            const auto most = limit.in_flight();
            const auto latency = std::chrono::milliseconds(
                50 + random() % 20 + 100 * (most > capacity ? most - capacity : 0));
            const auto draw = random() % 40;
            const auto outcome = draw == 0   ? call_outcome::refused
                                 : draw == 1 ? call_outcome::abandoned
                                 : draw == 2 ? call_outcome::failed
                                             : call_outcome::succeeded;
            limit.release(latency, outcome);
            events.push_back(
                {std::chrono::duration<double>(latency).count(), outcome, limit.in_flight(), most});
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

// Guards against an upstream that refuses everything being asked as often as before.
Test(concurrency_limit, backs_off_further_while_refusals_go_on)
{
    concurrency_limit limit({.initial = 100});
    for (int i = 0; i < 2'000; ++i) {
        limit.try_acquire();
        limit.release(0ns, call_outcome::refused);
    }
    cr_assert(limit.limit() == 1, "limit %u", limit.limit());
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
