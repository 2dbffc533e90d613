#pragma once

#include <span>
#include <vector>

namespace medlaryoke::policy {

/// Size of one expert layer of a group.
struct placement_shape {
    unsigned ranks = 1;
    unsigned experts = 1;
    unsigned slots_per_rank = 1; ///< ranks times slots must be at least the number of experts

    bool operator==(const placement_shape&) const = default;
};

/// Which expert each slot of one layer holds. Slots of one rank are adjacent. An expert's load is
/// split evenly over its replicas.
struct layer_placement {
    placement_shape shape;
    std::vector<unsigned> expert_of_slot; ///< size ranks times slots_per_rank

    bool operator==(const layer_placement&) const = default;
};

struct placement_plan {
    layer_placement placement;
    unsigned loaded_experts = 0; ///< experts that a rank must load and did not hold before
    double skew_before = 1;      ///< highest load of a rank over the mean
    double skew_after = 1;
};

struct improvement_limits {
    double target_skew = 1.02;           ///< stop when the layer is this even
    double min_gain_per_expert = 0.0003; ///< fall of the skew that a loaded expert must bring
    double repack_skew = 1.08;           ///< pack from scratch if the search ends above this
    double min_repack_gain = 0.02;       ///< and packing from scratch is better by this
};

/// Places the experts of one layer on ranks and replicates the hot ones.
class expert_placement {
public:
    /// Spreads experts in order and fills the spare slots with the first experts.
    /// @param shape size of the layer
    /// @return the placement
    /// @throws error of kind invalid_argument if the experts do not fit
    static layer_placement spread(const placement_shape& shape);

    /// Packs a layer from scratch: replicas for the hottest experts, then longest first onto the
    /// least loaded rank. Takes no account of what ranks hold.
    /// @param shape size of the layer
    /// @param loads load of each expert; size experts, not negative
    /// @return the placement
    static layer_placement repack(const placement_shape& shape, std::span<const double> loads);

    /// Improves a placement with few loaded experts: repeatedly replaces spare replicas or swaps
    /// experts between the hottest rank and another. If that ends in a poor placement, packs from
    /// scratch and assigns the packed ranks to those that already hold most of their experts.
    /// @param current the placement in use
    /// @param loads load of each expert; size experts, not negative
    /// @param limits when to stop
    /// @return the improved placement, with what it costs and brings
    static placement_plan improve(const layer_placement& current, std::span<const double> loads,
                                  const improvement_limits& limits);

    /// @param placement the placement
    /// @param loads load of each expert; size experts, not negative
    /// @return highest load of a rank over the mean; 1 if there is no load
    static double skew(const layer_placement& placement, std::span<const double> loads);

    /// @param from the placement in use
    /// @param to another placement of the same shape
    /// @return number of experts that ranks must load and do not hold
    static unsigned loaded_experts(const layer_placement& from, const layer_placement& to);
};

} // namespace medlaryoke::policy
