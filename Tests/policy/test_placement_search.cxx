#include "policy/placement_search.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke::policy;

namespace {

std::vector<double> skewed_loads(unsigned experts, std::mt19937& random)
{
    std::vector<double> loads;
    for (unsigned n = 1; n <= experts; ++n) {
        const auto jitter = std::uniform_real_distribution<>(1, 1.4)(random);
        loads.push_back(1000.0 / (n * jitter));
    }
    std::ranges::shuffle(loads, random);
    return loads;
}

void expect_valid(const group_shape& shape, const set_placement& before, const set_placement& after)
{
    std::set<unsigned> held;
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        const std::set<unsigned> experts(after[rank].begin(), after[rank].end());
        cr_assert(experts.size() == after[rank].size(), "a rank holds an expert twice");
        cr_assert(experts.size() <= shape.max_experts_per_set);
        held.insert(experts.begin(), experts.end());
        const auto copies = std::ranges::count_if(after[rank], [&](unsigned it) {
            return std::ranges::find(before[rank], it) == before[rank].end();
        });
        cr_assert(static_cast<unsigned>(copies) <= shape.max_copies_per_set);
    }
    cr_assert(held.size() == shape.experts, "no rank holds some expert");
}

} // namespace

// Guards against maps that the engines refuse, and against a search that leaves a hot rank: the few
// copies allowed for one switch must halve the excess of the highest load, and three switches must
// bring it below 1.35 times the mean load.
Test(placement_search, balances_the_load_within_the_limits_of_the_engines)
{
    for (const auto& shape : {group_shape{16, 4, 64, 5, 2}, group_shape{72, 12, 144, 3, 2}}) {
        std::mt19937 random(3);
        for (int round = 0; round < 5; ++round) {
            const auto loads = skewed_loads(shape.experts, random);
            auto placement = initial_map(shape).sets.front();
            const auto initial_skew = placement_search(shape, placement, loads).skew();
            double last_skew = initial_skew;
            for (int n = 0; n < 3; ++n) {
                placement_search search(shape, placement, loads);
                while (search.improve_once(0.005)) {
                }
                expect_valid(shape, placement, search.placement());
                placement = search.placement();
                if (n == 0) {
                    cr_assert(search.skew() - 1 < 0.5 * (initial_skew - 1), "%f to %f",
                              initial_skew, search.skew());
                }
                last_skew = search.skew();
            }
            cr_assert(last_skew < 1.35, "%f to %f", initial_skew, last_skew);
        }
    }
}

// Guards against copies that do not improve the balance.
Test(placement_search, leaves_a_balanced_placement_unchanged)
{
    const group_shape shape{16, 1, 64, 5, 2};
    const std::vector<double> loads(64, 1.0);
    placement_search search(shape, initial_map(shape).sets.front(), loads);
    cr_assert(!search.improve_once(0.005));
    cr_assert(search.copies() == 0);
}
