#pragma once

#include <span>
#include <vector>

namespace medlaryoke::policy {

/// Size of one expert layer of a model group.
struct placement_shape {
    unsigned ranks = 1;
    unsigned experts = 1;
    unsigned slots_per_rank = 1; ///< ranks * slots_per_rank must not be below experts

    bool operator==(const placement_shape&) const = default;
};

/// The expert that each slot of one layer holds. The slots of a rank are adjacent. The load of an
/// expert is split evenly over its replicas.
struct layer_placement {
    placement_shape shape;
    std::vector<unsigned> expert_of_slot; ///< ranks * slots_per_rank elements

    bool operator==(const layer_placement&) const = default;
};

/// An improved placement of one layer.
struct placement_plan {
    layer_placement placement;
    unsigned experts_to_load = 0; ///< number of experts that ranks must load for it
    double skew_before = 1;       ///< highest load of a rank divided by the mean load
    double skew_after = 1;        ///< the same with the improved placement
};

/// Thresholds of the search for a better placement of one layer.
struct improvement_limits {
    double target_skew = 1.02;           ///< the search stops at this skew
    double min_gain_per_expert = 0.0003; ///< smallest decrease of the skew per expert to load
    double repack_skew = 1.08;           ///< the layer is packed from scratch above this skew
    double min_repack_gain = 0.02;       ///< smallest decrease of the skew that justifies packing
};

/// Places the experts of one layer on ranks and replicates experts with a high load.
class expert_placement {
public:
    /// Assigns experts to ranks round-robin and fills the spare slots with replicas of the first
    /// experts.
    /// @param shape size of the layer
    /// @return the placement
    /// @throws error of kind invalid_argument if the experts do not fit
    static layer_placement place_round_robin(const placement_shape& shape);

    /// Packs a layer from scratch: gives replicas to the experts with the highest load, then
    /// assigns replicas in order of decreasing load to the least loaded rank. Ignores which experts
    /// ranks hold already.
    /// @param shape size of the layer
    /// @param loads load by expert; not negative
    /// @return the placement
    /// @throws error of kind invalid_argument if the experts do not fit
    static layer_placement repack(const placement_shape& shape, std::span<const double> loads);

    /// Improves a placement so that ranks must load few experts: repeatedly replaces spare replicas
    /// or swaps experts between the rank with the highest load and another rank. If the skew stays
    /// high, packs the layer from scratch and assigns each packed expert list to a rank that
    /// already holds many of its experts.
    /// @param current the placement in use
    /// @param loads load by expert; not negative
    /// @param limits thresholds of the search
    /// @return the improved placement, the number of experts to load and the skews
    static placement_plan improve(const layer_placement& current, std::span<const double> loads,
                                  const improvement_limits& limits);

    /// @param placement a placement
    /// @param loads load by expert; not negative
    /// @return highest load of a rank divided by the mean load; 1 if there is no load
    static double skew(const layer_placement& placement, std::span<const double> loads);

    /// @param from the placement in use
    /// @param to another placement of the same shape
    /// @return number of experts that ranks must load to switch, summed over the ranks
    static unsigned experts_to_load(const layer_placement& from, const layer_placement& to);
};

} // namespace medlaryoke::policy
