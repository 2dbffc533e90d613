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
        cr_assert(experts.size() == after[rank].size(), "an expert twice on a rank");
        cr_assert(experts.size() <= shape.placements);
        held.insert(experts.begin(), experts.end());
        const auto taken_in = std::ranges::count_if(after[rank], [&](unsigned it) {
            return std::ranges::find(before[rank], it) == before[rank].end();
        });
        cr_assert(static_cast<unsigned>(taken_in) <= shape.spare);
    }
    cr_assert(held.size() == shape.experts, "an expert without a rank");
}

} // namespace

// Guards against maps that the engines refuse, and against a search that leaves a hot rank: within
// the few copies allowed for one switch the highest load must fall by far, and a few switches must
// come near an even load.
Test(placement_search, evens_the_load_within_the_bounds_of_the_engines)
{
    for (const auto& shape : {group_shape{16, 4, 64, 5, 2}, group_shape{72, 12, 144, 3, 2}}) {
        std::mt19937 random(3);
        for (int round = 0; round < 5; ++round) {
            const auto loads = skewed_loads(shape.experts, random);
            auto placement = first_map(shape).sets.front();
            const auto first = placement_search(shape, placement, loads).skew();
            double last = first;
            for (int n = 0; n < 3; ++n) {
                placement_search search(shape, placement, loads);
                while (search.improve_once(0.005)) {
                }
                expect_valid(shape, placement, search.placement());
                placement = search.placement();
                if (n == 0) {
                    cr_assert(search.skew() - 1 < 0.5 * (first - 1), "%f to %f", first,
                              search.skew());
                }
                last = search.skew();
            }
            cr_assert(last < 1.35, "%f to %f", first, last);
        }
    }
}

// Guards against copies that bring nothing.
Test(placement_search, leaves_an_even_placement_alone)
{
    const group_shape shape{16, 1, 64, 5, 2};
    const std::vector<double> loads(64, 1.0);
    placement_search search(shape, first_map(shape).sets.front(), loads);
    cr_assert(!search.improve_once(0.005));
    cr_assert(search.copies() == 0);
}
