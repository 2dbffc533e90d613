#pragma once

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "policy/expert_placement.h"

namespace medlaryoke::policy {

/// Parameters for the cost of a map switch and for the time that a balanced load saves.
struct rebalance_costs {
    /// Fraction of the step time that expert layers take, 0 to 1.
    double expert_time_fraction = 0.5;
    double bytes_per_expert = 0;       ///< size of the weights of one expert in one layer
    double store_bytes_per_second = 0; ///< rate at which the group reads from the weight store
    /// Fraction of the time lost while weights are loading.
    double loading_slowdown_fraction = 0.02;
    duration switch_pause{}; ///< time for which a switch pauses the group
};

/// The decision to keep the map.
struct keep_map {
    duration predicted_saving{};
    duration predicted_cost{};
};

/// The decision to switch to other placements in some layers.
struct rebalance_map {
    std::vector<layer_placement> layers; ///< placements of all layers
    unsigned experts_to_load = 0;        ///< number of experts that ranks must load
    duration predicted_saving{};
    duration predicted_cost{};
};

using rebalance_result = std::variant<keep_map, rebalance_map>;

/// Decides whether a switch to a better expert map pays off: the step time that it saves while the
/// popularity of experts stays similar (the horizon) must exceed the time lost to loading weights
/// and to the pause of the switch.
class rebalance_decision {
public:
    /// @param costs parameters for cost and saving of a switch
    /// @param limits thresholds of the search in each layer
    rebalance_decision(rebalance_costs costs, improvement_limits limits);

    /// Updates the smoothed popularity and the horizon, which is shorter the faster popularity
    /// drifts.
    /// @param loads tokens by layer and expert
    /// @param interval time since the previous observation
    void observe(std::span<const std::vector<double>> loads, duration interval);

    /// Decides with the smoothed popularity.
    /// @param current the placements in use, by layer
    /// @return whether to keep the map, or the placements to switch to
    [[nodiscard]] rebalance_result decide(std::span<const layer_placement> current) const;

    /// @return time for which a placement is expected to stay useful
    [[nodiscard]] duration horizon() const { return this->horizon_; }

private:
    rebalance_costs costs_;
    improvement_limits limits_;
    std::vector<std::vector<double>> loads_; ///< smoothed, by layer and expert; a layer sums to 1
    duration horizon_;
};

} // namespace medlaryoke::policy
