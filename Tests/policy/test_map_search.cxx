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

/// Popularity that falls with the rank of an expert, in another order in each set.
set_loads shifted_popularity(const group_shape& shape, std::mt19937& random)
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

/// @return work of the passes in the time after a shift, in seconds at an even load
double work_after_shift(const group_shape& shape, const set_loads& loads, unsigned copies_per_rank)
{
    constexpr double until = 1.2;    // seconds; popularity shifts again about then
    constexpr double noticed = 0.25; // counts, search and orders of a switch
    auto map = first_map(shape);
    double now = 0;
    double work = 0;
    while (now < until) {
        map_search search(shape, map, loads, {}, {copies_per_rank, 0.03});
        while (search.improve_once()) {
        }
        const auto copies = copies_by_rank(map, search.map());
        const auto copying =
            std::chrono::duration<double>(shape.copy_time) * *std::ranges::max_element(copies);
        const auto end = std::min(now + noticed + copying.count(), until);
        work += (end - now) * search.mean_skew_before();
        now = end;
        map = search.map();
    }
    return work;
}

constexpr group_shape small_group{16, 4, 64, 5, 2, 111ms};
constexpr group_shape large_group{72, 12, 144, 3, 2, 16ms};

} // namespace

// Guards against a switch that takes as long as the slowest of the sets: a rank copies the experts
// of all sets one after the other, so the bound holds for their sum, and what a set may still take
// in depends on the others.
Test(map_search, bounds_what_a_rank_copies_over_all_sets)
{
    std::mt19937 random(5);
    for (const auto& shape : {small_group, large_group}) {
        for (const unsigned limit : {1U, 3U, 7U}) {
            const auto before = first_map(shape);
            map_search search(shape, before, shifted_popularity(shape, random), {}, {limit, 0.03});
            while (search.improve_once()) {
            }
            const auto copies = copies_by_rank(before, search.map());
            cr_assert(*std::ranges::max_element(copies) <= limit);
            cr_assert(std::reduce(copies.begin(), copies.end()) == search.copies());
            cr_assert(search.mean_skew() < search.mean_skew_before());
        }
    }
}

// Guards against copies that go to sets in their order: with few copies the sets that lengthen the
// passes most must come first.
Test(map_search, begins_with_the_most_skewed_set)
{
    std::mt19937 random(7);
    auto loads = shifted_popularity(large_group, random);
    for (std::size_t set = 0; set + 1 < loads.size(); ++set) {
        std::ranges::fill(loads[set], 1.0);
        loads[set].front() = 2.0;
    }
    const auto before = first_map(large_group);
    map_search search(large_group, before, loads, {}, {1, 0.03});
    cr_assert(search.improve_once());
    const auto after = search.map();
    for (std::size_t set = 0; set + 1 < loads.size(); ++set) {
        cr_assert(after.sets[set] == before.sets[set]);
    }
    cr_assert(after.sets.back() != before.sets.back());
}

// Guards against one long switch after a shift of popularity: the second after it, in which every
// running stream becomes late, must cost less with switches that copy for about 120 ms each than
// with one that copies all that helps.
Test(map_search, short_switches_serve_a_shift_better_than_a_long_one)
{
    std::mt19937 random(11);
    for (const auto& shape : {small_group, large_group}) {
        const auto affordable =
            std::max<unsigned>(1, static_cast<unsigned>(120ms / shape.copy_time));
        for (int round = 0; round < 3; ++round) {
            const auto loads = shifted_popularity(shape, random);
            const auto in_short = work_after_shift(shape, loads, affordable);
            const auto in_one = work_after_shift(shape, loads, shape.sets * shape.spare);
            cr_assert(in_short < in_one, "%u ranks: %f, %f", shape.ranks, in_short, in_one);
        }
    }
}

// Guards against a search that still runs when popularity shifts again: with a pause after each
// step, the hundreds of steps for a group of 72 ranks took about a second.
Test(map_search, the_largest_group_needs_few_steps)
{
    std::mt19937 random(13);
    map_search search(large_group, first_map(large_group), shifted_popularity(large_group, random),
                      {}, {7, 0.03});
    unsigned steps = 0;
    while (search.improve_once()) {
        ++steps;
    }
    cr_assert(steps < 800, "%u steps", steps);
}

// Guards against a group that is as slow as its slowest rank: when one engine took four times as
// long, every pass did, and all streams were late until it recovered. A few switches must leave
// that rank so few tokens that passes are at most half again as long as without it.
Test(map_search, takes_work_from_a_slow_rank)
{
    std::mt19937 random(17);
    for (const auto& shape : {small_group, large_group}) {
        const auto affordable =
            std::max<unsigned>(1, static_cast<unsigned>(120ms / shape.copy_time));
        const auto loads = shifted_popularity(shape, random);
        const auto after_switches = [&](const std::vector<double>& pace) {
            auto map = first_map(shape);
            double skew = 0;
            for (int n = 0; n < 6; ++n) {
                map_search search(shape, map, loads, pace, {affordable, 0.03});
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
        std::vector<double> pace(shape.ranks, 1.0);
        const auto usual = after_switches(pace);
        pace[3] = 4;
        const auto slow = after_switches(pace);
        cr_assert(slow < 1.5 * usual, "%u ranks: %f, %f", shape.ranks, usual, slow);
    }
}

// Guards against copies where none are needed: a hot expert with several ranks is taken from a slow
// one at once.
Test(map_search, takes_an_expert_from_a_slow_rank_without_a_copy)
{
    const group_shape shape{2, 1, 3, 3, 2};
    const expert_map shared{1, {{{0, 1}, {0, 2}}}};
    map_search search(shape, shared, {{1000.0, 10.0, 10.0}}, {4.0, 1.0}, {0, 0.03});
    cr_assert(search.improve_once());
    cr_assert(search.copies() == 0);
    const expert_map expected{0, {{{1}, {0, 2}}}};
    cr_assert(search.map() == expected);
}
