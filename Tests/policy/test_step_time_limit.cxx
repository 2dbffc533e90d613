#include "policy/step_time_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ranks = 16;
constexpr double base_ms = 30;
constexpr double ms_per_request = 2.2;
constexpr double tokens_per_ms = 75;

model::engine_pace make_pace()
{
    model::engine_pace pace;
    pace.step = 5ms;
    pace.token_steps_per_step = 6;
    pace.token_step_time_per_sequence = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms_per_request / 6));
    pace.prefill_tokens_per_second = tokens_per_ms * 1000;
    pace.mean_prompt_tokens = 800;
    pace.chunk = 512;
    return pace;
}

/// A lock-step group whose step times follow the configured timing.
struct simulated_group {
    /// Runs steps with as many requests as the limit and 12 slots allow.
    /// @param limit the limit under test, which gets the gaps of the steps
    /// @param work_factor work of a step, as a multiple of the work with balanced experts
    /// @param steps number of steps
    /// @return longest step time, in milliseconds
    double run(step_time_limit& limit, double work_factor, int steps)
    {
        double longest = 0;
        for (int n = 0; n < steps; ++n) {
            this->running = std::min(12.0, limit.run_limit());
            const auto prompt = std::min(std::lognormal_distribution<>(6.8, 0.5)(this->random),
                                         limit.prefill_token_limit(this->running));
            const auto ms =
                base_ms + work_factor * (ms_per_request * this->running + prompt / tokens_per_ms);
            longest = std::max(longest, ms);
            const auto gap =
                std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
            this->now += gap;
            for (int stream = 0; stream < 20; ++stream) {
                limit.on_gap(gap, this->running, ranks, this->now);
            }
        }
        return longest;
    }

    std::mt19937 random{5};
    double running = 12;
    time_point now{1s};
};

} // namespace

// Guards against steps that make every stream late: once the work factor is known, no step may
// take longer than the longest allowed gap, whatever the skew of the experts.
Test(step_time_limit, keeps_every_step_within_the_longest_gap)
{
    for (const double work_factor : {1.0, 1.5, 2.0, 3.0}) {
        step_time_limit limit;
        limit.configure(make_pace(), 120ms);
        simulated_group group;
        group.run(limit, work_factor, 60);
        const auto longest = group.run(limit, work_factor, 400);
        cr_assert(longest <= 120, "%f: %f", work_factor, longest);
        cr_assert(group.running >= 4, "%f: %f", work_factor, group.running);
    }
}

// Guards against a group so full that a shift of expert popularity makes its streams late before
// the limit adapts.
Test(step_time_limit, tolerates_a_shift_of_expert_popularity)
{
    step_time_limit limit;
    limit.configure(make_pace(), 120ms);
    simulated_group group;
    group.run(limit, 1.05, 200);
    cr_assert(group.run(limit, 2.0, 1) <= 120);
}

// Guards against a stalled group that is treated as overloaded, and against limits for services
// without known engine timing.
Test(step_time_limit, ignores_stalls_and_services_without_engine_timing)
{
    step_time_limit limit;
    cr_assert(std::isinf(limit.run_limit()) && std::isinf(limit.prefill_token_limit(12)));
    limit.on_gap(100ms, 12, ranks, time_point{1s});
    limit.configure(make_pace(), 120ms);
    const auto before = limit.run_limit();
    for (int n = 0; n < 100; ++n) {
        limit.on_gap(2s, 12, ranks, time_point{1s} + n * 100ms);
    }
    cr_assert(limit.run_limit() == before && limit.work_factor() == 1);
}

// Guards against limits that stay low for good after the streams that they were learned from have
// ended. Load: slow engines raise the work factor, then a crash ends all streams.
Test(step_time_limit, forgets_the_work_factor_without_events)
{
    step_time_limit fresh;
    fresh.configure(make_pace(), 120ms);
    step_time_limit limit;
    limit.configure(make_pace(), 120ms);
    simulated_group group;
    group.run(limit, 5, 100);
    cr_assert(limit.run_limit() < fresh.run_limit());
    cr_assert(!limit.on_tick(group.now + 1900ms));
    cr_assert(limit.on_tick(group.now + 2s));
    cr_assert(limit.run_limit() == fresh.run_limit());
    cr_assert(limit.prefill_token_limit(0) == fresh.prefill_token_limit(0));
}
