#pragma once

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "policy/expert_placement.h"

namespace medlaryoke::policy {

/// What a switch of maps costs and what an even load is worth.
struct rebalance_costs {
    double expert_part = 0.5;          ///< part of the step time spent in expert layers, 0 to 1
    double bytes_per_expert = 0;       ///< weights of one expert in one layer
    double store_bytes_per_second = 0; ///< rate of the weight store for the group
    double load_slowdown = 0.02;       ///< part of the step time lost while weights are loading
    duration switch_pause{};           ///< time the group stands still for a switch
};

/// Keep the map.
struct keep_map {
    duration predicted_saving{};
    duration predicted_cost{};
};

/// Switch to other placements in some layers.
struct rebalance_map {
    std::vector<layer_placement> layers; ///< placements of all layers
    unsigned loaded_experts = 0;
    duration predicted_saving{};
    duration predicted_cost{};
};

using rebalance_result = std::variant<keep_map, rebalance_map>;

/// Decides whether moving experts pays off: the step time saved over the horizon in which
/// popularity stays similar must exceed the time lost to loading weights and to the switch.
class rebalance_decision {
public:
    /// @param costs what a switch costs
    /// @param limits limits of the search in each layer
    rebalance_decision(rebalance_costs costs, improvement_limits limits);

    /// Learns how fast popularity drifts.
    /// @param loads popularity of the experts, one vector for each layer
    /// @param interval time since the last observation
    void observe(std::span<const std::vector<double>> loads, duration interval);

    /// Decides on the last observation.
    /// @param current the placements in use, one for each layer
    /// @return keep, or the placements to switch to
    [[nodiscard]] rebalance_result decide(std::span<const layer_placement> current) const;

    /// @return time over which a placement is expected to stay useful
    [[nodiscard]] duration horizon() const { return this->horizon_; }

private:
    rebalance_costs costs_;
    improvement_limits limits_;
    std::vector<std::vector<double>> loads_; ///< smoothed, each layer sums to 1
    duration horizon_;
};

} // namespace medlaryoke::policy
