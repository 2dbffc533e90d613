#include "policy/outlier_detector.h"

#include <random>

#include <criterion/criterion.h>

using medlaryoke::duration;
using medlaryoke::time_point;
using medlaryoke::policy::call_outcome;
using medlaryoke::policy::outlier_detector;
using medlaryoke::policy::outlier_options;
using namespace std::chrono_literals;

namespace {

/// Reference implementation that keeps all results of an upstream and derives its state from them.
struct reference_upstream {
    struct result {
        bool success;
        time_point at;
        bool may_eject; ///< whether the limit allowed another ejection
    };

    struct state {
        bool ejected = false;
        time_point until{};
    };

    std::vector<result> results;

    state derive(const outlier_options& options) const
    {
        state it;
        duration ejection_length{};
        std::size_t window_first = 0;
        std::size_t streak_first = 0;
        time_point window_start{};
        unsigned probe_successes = 0;
        const auto eject = [&](time_point at) {
            ejection_length = ejection_length == 0s
                                  ? options.initial_ejection
                                  : std::min(ejection_length * 2, options.max_ejection);
            it = {true, at + ejection_length};
            probe_successes = 0;
        };
        for (std::size_t i = 0; i < this->results.size(); ++i) {
            const auto& [success, at, may_eject] = this->results[i];
            if (it.ejected) {
                if (!success) {
                    eject(at);
                }
                else if (++probe_successes == options.required_probe_successes) {
                    it.ejected = false;
                    window_first = streak_first = i + 1;
                    window_start = at;
                }
                continue;
            }
            if (at - window_start >= options.window) {
                window_start = at;
                window_first = i;
                ejection_length = {};
            }
            unsigned failures = 0;
            for (auto j = window_first; j <= i; ++j) {
                failures += this->results[j].success ? 0 : 1;
            }
            unsigned streak = 0;
            for (auto j = i + 1; j > streak_first && !this->results[j - 1].success; --j) {
                ++streak;
            }
            const auto n = i + 1 - window_first;
            if (may_eject && (streak >= options.consecutive_failures ||
                              (n >= options.min_results &&
                               failures >= options.failure_rate * static_cast<double>(n)))) {
                eject(at);
            }
        }
        return it;
    }
};

} // namespace

// Guards against wrong counts after windows, probes and repeated ejections, and against ejecting
// more than the maximum fraction.
Test(outlier_detector, agrees_with_the_reference_implementation)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        const outlier_options options{.max_ejected_fraction = 0.4, .min_results = 8};
        std::vector<std::uint64_t> ids = {0, 1, 2, 3, 4};
        outlier_detector detector(options);
        detector.set_members(ids);
        std::vector<reference_upstream> reference(ids.size());
        time_point now{1h};
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds(random() % 400);
            const auto id = random() % ids.size();
            std::size_t ejected = 0;
            for (const auto& it : reference) {
                ejected += it.derive(options).ejected ? 1 : 0;
            }
            const auto state = reference[id].derive(options);
            cr_assert(detector.ejected_count() == ejected && ejected <= 2, "seed %lu", seed);
            cr_assert(detector.is_ejected(id) == state.ejected, "seed %lu step %d", seed, i);
            if (state.ejected) {
                cr_assert(detector.try_probe(id, now) == (now >= state.until), "seed %lu", seed);
                if (now < state.until) {
                    continue;
                }
                cr_assert(!detector.try_probe(id, now), "two probes at once");
            }
            if (random() % 10 == 0) {
                detector.on_result(id, call_outcome::abandoned, now);
                continue;
            }
            const bool success = random() % 4 > (id < 3 ? 2 : 0);
            reference[id].results.push_back({success, now, ejected < 2});
            detector.on_result(id, success ? call_outcome::succeeded : call_outcome::failed, now);
        }
    }
}

// Guards against ejection for overload, which would shift the load to the other upstreams.
Test(outlier_detector, refusals_do_not_eject)
{
    outlier_detector detector({.max_ejected_fraction = 1});
    const std::vector<std::uint64_t> ids = {1, 2};
    detector.set_members(ids);
    for (int i = 0; i < 100; ++i) {
        detector.on_result(1, call_outcome::refused, time_point{1s});
    }
    cr_assert(!detector.is_ejected(1));
}

// Guards against exceeding the limit on ejections when healthy upstreams are removed.
Test(outlier_detector, keeps_the_limit_when_upstreams_leave)
{
    outlier_detector detector({.max_ejected_fraction = 0.5});
    const std::vector<std::uint64_t> four = {1, 2, 3, 4};
    detector.set_members(four);
    for (int i = 0; i < 5; ++i) {
        detector.on_result(1, call_outcome::failed, time_point{1s});
        detector.on_result(2, call_outcome::failed, time_point{2s});
    }
    cr_assert(detector.ejected_count() == 2);
    const std::vector<std::uint64_t> two = {1, 2};
    detector.set_members(two);
    cr_assert(detector.ejected_count() == 1 && detector.is_ejected(2));
}
