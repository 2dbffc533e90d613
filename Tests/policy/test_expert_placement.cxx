#include "policy/expert_placement.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <criterion/criterion.h>

#include "base/error.h"
#include "policy/rebalance_decision.h"

using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

std::vector<double> random_loads(std::mt19937& random, unsigned experts)
{
    std::lognormal_distribution<double> load(0, 1);
    std::vector<double> result(experts);
    std::ranges::generate(result, [&] { return load(random); });
    return result;
}

/// @return the skew, computed expert by expert from its definition
double naive_skew(const layer_placement& placement, const std::vector<double>& loads)
{
    std::map<unsigned, std::vector<unsigned>> ranks_of;
    for (unsigned slot = 0; slot < placement.expert_of_slot.size(); ++slot) {
        ranks_of[placement.expert_of_slot[slot]].push_back(slot / placement.shape.slots_per_rank);
    }
    std::vector<double> sums(placement.shape.ranks);
    double total = 0;
    for (const auto& [expert, ranks] : ranks_of) {
        for (const auto rank : ranks) {
            sums[rank] += loads[expert] / static_cast<double>(ranks.size());
        }
        total += loads[expert];
    }
    return std::ranges::max(sums) * placement.shape.ranks / total;
}

bool holds_every_expert(const layer_placement& placement)
{
    const std::set<unsigned> held(placement.expert_of_slot.begin(), placement.expert_of_slot.end());
    return held.size() == placement.shape.experts;
}

} // namespace

// Guards against an improved placement that lacks an expert, has a higher skew, or is reported with
// wrong numbers.
Test(expert_placement, improve_reports_correct_numbers)
{
    std::mt19937 random(11);
    for (int round = 0; round < 100; ++round) {
        const placement_shape shape{2 + static_cast<unsigned>(random() % 7), 12, 6 + 1};
        const auto loads = random_loads(random, shape.experts);
        const auto current = expert_placement::repack(shape, random_loads(random, shape.experts));
        const auto plan = expert_placement::improve(current, loads, {});
        cr_assert(holds_every_expert(plan.placement));
        cr_assert_float_eq(plan.skew_before, naive_skew(current, loads), 1e-9);
        cr_assert_float_eq(plan.skew_after, naive_skew(plan.placement, loads), 1e-9);
        cr_assert_leq(plan.skew_after, plan.skew_before + 1e-9);
        cr_assert(plan.experts_to_load ==
                  expert_placement::experts_to_load(current, plan.placement));
    }
}

// Guards against a placement that lacks an expert.
Test(expert_placement, repack_holds_every_expert)
{
    std::mt19937 random(12);
    for (int round = 0; round < 200; ++round) {
        const placement_shape shape{1 + static_cast<unsigned>(random() % 8), 16, 16};
        const auto placement = expert_placement::repack(shape, random_loads(random, shape.experts));
        cr_assert(holds_every_expert(placement));
        cr_assert(holds_every_expert(expert_placement::place_round_robin(shape)));
    }
}

// Guards against a shape with too few slots for its experts.
Test(expert_placement, rejects_too_few_slots)
{
    cr_assert_throw(expert_placement::place_round_robin({2, 5, 2}), medlaryoke::error);
}

// Guards against a division by zero for a layer without load.
Test(expert_placement, skew_is_one_without_load)
{
    const auto placement = expert_placement::place_round_robin({4, 8, 3});
    cr_assert(expert_placement::skew(placement, std::vector<double>(8)) == 1);
}

namespace {

rebalance_costs low_costs()
{
    return {.expert_time_fraction = 0.5,
            .bytes_per_expert = 40e6,
            .store_bytes_per_second = 2e9,
            .loading_slowdown_fraction = 0.02,
            .switch_pause = 30ms};
}

bool switches_map(const rebalance_costs& costs, const std::vector<std::vector<double>>& loads,
                  const std::vector<layer_placement>& current)
{
    rebalance_decision decision(costs, {});
    decision.observe(loads, 30s);
    return std::holds_alternative<rebalance_map>(decision.decide(current));
}

} // namespace

// Guards against a switch that costs more time than it saves.
Test(rebalance_decision, compares_saving_with_cost)
{
    std::mt19937 random(13);
    const std::vector<std::vector<double>> loads{random_loads(random, 16)};
    const std::vector<layer_placement> current{expert_placement::place_round_robin({4, 16, 5})};
    auto costs = low_costs();
    cr_assert(switches_map(costs, loads, current));
    costs.store_bytes_per_second = 1;
    cr_assert_not(switches_map(costs, loads, current));
}

// Guards against a switch for a popularity that changes before the weights are loaded.
Test(rebalance_decision, fast_drift_shortens_the_horizon)
{
    std::mt19937 random(14);
    rebalance_decision decision(low_costs(), {});
    decision.observe(std::vector<std::vector<double>>{random_loads(random, 16)}, 30s);
    const auto first = decision.horizon();
    decision.observe(std::vector<std::vector<double>>{random_loads(random, 16)}, 30s);
    cr_assert(decision.horizon() < first);
}
