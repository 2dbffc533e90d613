#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "policy/step_time_limit.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t kinds = 3;
constexpr std::array<double, kinds> values{2.9, 1.5, 0.77}; ///< of the kinds, the urgent first
constexpr double late_value = 0.3;
constexpr double patience_ms = 350; ///< time that a request waits before it is refused

/// A lock-step group and its load.
struct group_load {
    std::string name;
    std::size_t ranks = 0;
    double slots = 0;
    milliseconds token_step{};
    unsigned token_steps = 0; ///< in a step
    milliseconds per_request{};
    double gap_ms = 0;
    unsigned answer_tokens = 0;
    std::array<double, kinds> demand{}; ///< requests per second of the whole group

    [[nodiscard]] double fixed_ms() const { return this->token_step.count() * this->token_steps; }
};

const group_load large_group{.name = "192 ranks",
                             .ranks = 192,
                             .slots = 6,
                             .token_step = milliseconds(4.84),
                             .token_steps = 9,
                             .per_request = milliseconds(0.797),
                             .gap_ms = 150,
                             .answer_tokens = 153,
                             .demand = {212, 163, 94.1}};

const group_load small_group{.name = "16 ranks",
                             .ranks = 16,
                             .slots = 12,
                             .token_step = milliseconds(4.84),
                             .token_steps = 6,
                             .per_request = milliseconds(0.362),
                             .gap_ms = 120,
                             .answer_tokens = 156,
                             .demand = {34.4, 26.1, 15.1}};

/// Work of a step, as a multiple of the work with balanced experts, by time in seconds.
using work_pattern = std::function<double(double)>;

double balanced(double /*seconds*/)
{
    return 1.25;
}

double shifting(double seconds)
{
    constexpr double interval = 3.6;
    constexpr double until_switch = 0.6;
    return std::fmod(seconds, interval) < until_switch ? 2.9 : 1.25;
}

/// Requests that began in the same step.
struct cohort {
    double steps_left = 0;
    double count = 0; ///< per engine
    std::size_t kind = 0;
    bool is_late = false;
};

struct waiting_requests {
    double arrived_ms = 0;
    double count = 0; ///< per engine
};

struct earned {
    double worth = 0;                    ///< as a fraction of what was owed
    std::array<double, kinds> by_kind{}; ///< the same for each kind
};

/// Runs a group for a minute and counts the second half.
/// @param limit returns the number of requests that an engine may run
/// @param on_step called after each step with the time, its length in ms and the running requests
earned run(const group_load& group, const work_pattern& work, double load,
           const std::function<double()>& limit,
           const std::function<void(time_point, double, double)>& on_step)
{
    constexpr double end_ms = 60'000;
    constexpr double count_from_ms = 30'000;
    constexpr double prefill_ms = 13;
    std::vector<cohort> running;
    std::array<std::deque<waiting_requests>, kinds> waiting;
    std::array<double, kinds> owed{};
    std::array<double, kinds> got{};
    double now_ms = 0;
    double step_ms = group.fixed_ms();
    while (now_ms < end_ms) {
        const bool is_counted = now_ms >= count_from_ms;
        auto total = std::transform_reduce(running.begin(), running.end(), 0.0, std::plus<>{},
                                           [](const cohort& it) { return it.count; });
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            const auto arrived =
                load * group.demand[kind] / static_cast<double>(group.ranks) * step_ms / 1000;
            owed[kind] += is_counted ? arrived : 0;
            auto& queue = waiting[kind];
            queue.push_back({now_ms, arrived});
            while (now_ms - queue.front().arrived_ms > patience_ms) {
                queue.pop_front();
            }
            while (!queue.empty() && total < std::min(limit(), group.slots)) {
                const auto count =
                    std::min(queue.front().count, std::min(limit(), group.slots) - total);
                running.push_back({static_cast<double>(group.answer_tokens) / group.token_steps,
                                   count, kind, false});
                total += count;
                queue.front().count -= count;
                if (queue.front().count <= 0) {
                    queue.pop_front();
                }
            }
        }
        step_ms = group.fixed_ms() +
                  work(now_ms / 1000) *
                      (group.per_request.count() * group.token_steps * total + prefill_ms);
        now_ms += step_ms;
        for (auto& it : running) {
            it.is_late = it.is_late || step_ms > group.gap_ms;
            it.steps_left -= 1;
            if (it.steps_left <= 0 && is_counted) {
                got[it.kind] += it.count * (it.is_late ? late_value : 1);
            }
        }
        std::erase_if(running, [](const cohort& it) { return it.steps_left <= 0; });
        on_step(time_point{} + std::chrono::duration_cast<duration>(milliseconds(now_ms)), step_ms,
                total);
    }
    earned result;
    double all_owed = 0;
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        result.by_kind[kind] = got[kind] / owed[kind];
        result.worth += got[kind] * values[kind];
        all_owed += owed[kind] * values[kind];
    }
    result.worth /= all_owed;
    return result;
}

earned run_with_fixed_limit(const group_load& group, const work_pattern& work, double load,
                            double limit)
{
    return run(
        group, work, load, [limit] { return limit; }, [](auto, auto, auto) {});
}

earned run_with_limit_under_test(const group_load& group, const work_pattern& work, double load)
{
    model::engine_pace pace;
    pace.step = std::chrono::duration_cast<duration>(group.token_step);
    pace.token_steps_per_step = group.token_steps;
    pace.token_step_time_per_sequence = std::chrono::duration_cast<duration>(group.per_request);
    pace.prefill_tokens_per_second = 74'800;
    pace.mean_prompt_tokens = 805;
    pace.mean_answer_tokens = group.answer_tokens;
    pace.chunk = 512;
    step_time_limit limit;
    limit.configure(pace, std::chrono::duration_cast<duration>(milliseconds(group.gap_ms)));
    return run(
        group, work, load, [&limit] { return limit.run_limit(); },
        [&](time_point now, double step_ms, double running) {
            constexpr int streams = 10;
            for (int n = 0; n < streams; ++n) {
                limit.on_gap(std::chrono::duration_cast<duration>(milliseconds(step_ms)), running,
                             group.ranks, now);
            }
        });
}

/// Compares the limit under test with each fixed limit.
void check_load(const group_load& group, const work_pattern& work, double load)
{
    // The users' goal for a load that cannot be served whole: nine tenths of what is possible.
    constexpr double min_fraction = 0.9;
    earned best;
    double best_limit = 0;
    for (double limit = 2; limit <= group.slots; limit += 0.25) {
        const auto candidate = run_with_fixed_limit(group, work, load, limit);
        if (candidate.worth > best.worth) {
            best = candidate;
            best_limit = limit;
        }
    }
    const auto tested = run_with_limit_under_test(group, work, load);
    cr_expect(tested.worth >= min_fraction * best.worth,
              "%s, load %.1f: worth %.3f, with the fixed limit %.2f %.3f", group.name.c_str(), load,
              tested.worth, best_limit, best.worth);
    cr_expect(tested.by_kind[kinds - 1] >= min_fraction * best.by_kind[kinds - 1],
              "%s, load %.1f: the least urgent kind earns %.3f, with the fixed limit %.2f %.3f",
              group.name.c_str(), load, tested.by_kind[kinds - 1], best_limit,
              best.by_kind[kinds - 1]);
}

} // namespace

// Guards against callers that are refused while slots are free and steps are short.
Test(refused_beside_free_slots, serves_the_usual_load_with_balanced_experts)
{
    check_load(large_group, balanced, 1);
    check_load(small_group, balanced, 1);
}

// The same with more callers than can be served.
Test(refused_beside_free_slots, serves_what_is_possible_of_twice_the_load)
{
    check_load(large_group, balanced, 2);
    check_load(small_group, balanced, 2);
}

// Expert popularity shifts, and until the next switch of maps steps take more than twice the time.
Test(refused_beside_free_slots, serves_what_is_possible_beside_shifts_of_popularity)
{
    check_load(large_group, shifting, 1);
    check_load(large_group, shifting, 1.7);
    check_load(small_group, shifting, 1);
    check_load(small_group, shifting, 1.7);
}
