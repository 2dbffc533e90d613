#include "policy/map_search.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

using set_loads = std::vector<std::vector<double>>;

/// @return loads that follow a Zipf distribution, in a different order of experts in each set
set_loads shuffled_popularity(const group_shape& shape, std::mt19937& random)
{
    set_loads loads;
    for (unsigned set = 0; set < shape.sets; ++set) {
        std::vector<double> popularity;
        for (unsigned n = 1; n <= shape.experts; ++n) {
            popularity.push_back(1000.0 / n);
        }
        std::ranges::shuffle(popularity, random);
        loads.push_back(std::move(popularity));
    }
    return loads;
}

std::vector<unsigned> copies_by_rank(const expert_map& before, const expert_map& after)
{
    std::vector<unsigned> copies(before.sets.front().size());
    for (std::size_t set = 0; set < before.sets.size(); ++set) {
        for (std::size_t rank = 0; rank < copies.size(); ++rank) {
            const auto& held = before.sets[set][rank];
            copies[rank] += static_cast<unsigned>(
                std::ranges::count_if(after.sets[set][rank], [&held](unsigned it) {
                    return std::ranges::find(held, it) == held.end();
                }));
        }
    }
    return copies;
}

/// @return integral of the mean skew over the time after a shift of popularity, in seconds
double work_after_shift(const group_shape& shape, const set_loads& loads,
                        unsigned max_copies_per_rank)
{
    constexpr double end_of_period = 1.2;    // s; popularity shifts again at about this time
    constexpr double switch_overhead = 0.25; // s, for counts, search and orders of one switch
    auto map = initial_map(shape);
    double now = 0;
    double work = 0;
    while (now < end_of_period) {
        map_search search(shape, map, loads, {}, {max_copies_per_rank, 0.03});
        while (search.improve_once()) {
        }
        const auto copies = copies_by_rank(map, search.map());
        const auto copy_duration = std::chrono::duration<double>(shape.copy_time_per_expert) *
                                   *std::ranges::max_element(copies);
        const auto end = std::min(now + switch_overhead + copy_duration.count(), end_of_period);
        work += (end - now) * search.initial_mean_skew();
        now = end;
        map = search.map();
    }
    return work;
}

constexpr group_shape small_group{16, 4, 64, 5, 2, 111ms};
constexpr group_shape large_group{72, 12, 144, 3, 2, 16ms};

} // namespace

// Guards against a limit that is applied to each set alone: a rank copies the experts of all sets
// one after the other, so the limit applies to the sum, and copies for one set reduce what is left
// for the others.
Test(map_search, limits_copies_of_a_rank_over_all_sets)
{
    std::mt19937 random(5);
    for (const auto& shape : {small_group, large_group}) {
        for (const unsigned limit : {1U, 3U, 7U}) {
            const auto before = initial_map(shape);
            map_search search(shape, before, shuffled_popularity(shape, random), {}, {limit, 0.03});
            while (search.improve_once()) {
            }
            const auto copies = copies_by_rank(before, search.map());
            cr_assert(*std::ranges::max_element(copies) <= limit);
            cr_assert(std::reduce(copies.begin(), copies.end()) == search.copies());
            cr_assert(search.mean_skew() < search.initial_mean_skew());
        }
    }
}

// Guards against copies that are spent on sets in index order: the most skewed set lengthens the
// steps most and must come first.
Test(map_search, improves_the_most_skewed_set_first)
{
    std::mt19937 random(7);
    auto loads = shuffled_popularity(large_group, random);
    for (std::size_t set = 0; set + 1 < loads.size(); ++set) {
        std::ranges::fill(loads[set], 1.0);
        loads[set].front() = 2.0;
    }
    const auto before = initial_map(large_group);
    map_search search(large_group, before, loads, {}, {1, 0.03});
    cr_assert(search.improve_once());
    const auto after = search.map();
    for (std::size_t set = 0; set + 1 < loads.size(); ++set) {
        cr_assert(after.sets[set] == before.sets[set]);
    }
    cr_assert(after.sets.back() != before.sets.back());
}

// Guards against one long switch after a shift of popularity, during which every running stream
// becomes late: in the second after the shift, several switches of about 120 ms of copying each
// must cost less work than one switch that copies every useful expert.
Test(map_search, several_short_switches_cost_less_than_a_long_one)
{
    std::mt19937 random(11);
    for (const auto& shape : {small_group, large_group}) {
        const auto copies_in_120_ms =
            std::max<unsigned>(1, static_cast<unsigned>(120ms / shape.copy_time_per_expert));
        for (int round = 0; round < 3; ++round) {
            const auto loads = shuffled_popularity(shape, random);
            const auto work_with_short_switches = work_after_shift(shape, loads, copies_in_120_ms);
            const auto work_with_long_switch =
                work_after_shift(shape, loads, shape.sets * shape.max_copies_per_set);
            cr_assert(work_with_short_switches < work_with_long_switch, "%u ranks: %f, %f",
                      shape.ranks, work_with_short_switches, work_with_long_switch);
        }
    }
}

// Guards against a search that still runs when popularity shifts again: with a pause after each
// iteration, the hundreds of iterations for a group of 72 ranks took about a second.
Test(map_search, largest_group_needs_few_iterations)
{
    std::mt19937 random(13);
    map_search search(large_group, initial_map(large_group),
                      shuffled_popularity(large_group, random), {}, {7, 0.03});
    unsigned iterations = 0;
    while (search.improve_once()) {
        ++iterations;
    }
    cr_assert(iterations < 800, "%u iterations", iterations);
}

// Guards against a group that stays as slow as its slowest rank: when one engine takes
// four times as long, every step does and all streams are late. A few switches must move so
// many tokens away from that rank that steps take at most 1.5 times as long as without the
// slow rank.
Test(map_search, moves_load_away_from_a_slow_rank)
{
    std::mt19937 random(17);
    for (const auto& shape : {small_group, large_group}) {
        const auto copies_in_120_ms =
            std::max<unsigned>(1, static_cast<unsigned>(120ms / shape.copy_time_per_expert));
        const auto loads = shuffled_popularity(shape, random);
        const auto after_switches = [&](const std::vector<double>& slowdowns) {
            auto map = initial_map(shape);
            double skew = 0;
            for (int n = 0; n < 6; ++n) {
                map_search search(shape, map, loads, slowdowns, {copies_in_120_ms, 0.03});
                while (search.improve_once()) {
                }
                map = search.map();
                skew = search.mean_skew();
            }
            for (const auto& placement : map.sets) {
                cr_assert(std::ranges::none_of(placement, &std::vector<unsigned>::empty));
            }
            return skew;
        };
        std::vector<double> slowdowns(shape.ranks, 1.0);
        const auto without_slow_rank = after_switches(slowdowns);
        slowdowns[3] = 4;
        const auto with_slow_rank = after_switches(slowdowns);
        cr_assert(with_slow_rank < 1.5 * without_slow_rank, "%u ranks: %f, %f", shape.ranks,
                  without_slow_rank, with_slow_rank);
    }
}

// Guards against needless copies: a hot expert that several ranks hold is removed from the
// slow rank without a copy.
Test(map_search, removes_a_replica_from_a_slow_rank_without_a_copy)
{
    const group_shape shape{2, 1, 3, 3, 2};
    const expert_map shared{1, {{{0, 1}, {0, 2}}}};
    map_search search(shape, shared, {{1000.0, 10.0, 10.0}}, {4.0, 1.0}, {0, 0.03});
    cr_assert(search.improve_once());
    cr_assert(search.copies() == 0);
    const expert_map expected{0, {{{1}, {0, 2}}}};
    cr_assert(search.map() == expected);
}
