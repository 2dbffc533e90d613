#include "policy/expert_map.h"

#include <algorithm>

namespace medlaryoke::policy {

bool can_be_kept(const group_shape& shape)
{
    // Each rank has a count of each expert of each set. 192 ranks with 64 sets of 256 experts have
    // three million, which take 24 MB.
    constexpr double max_counts = 8e6;
    constexpr double min_experts = 1; // a set without experts takes memory too
    return static_cast<double>(shape.ranks) * static_cast<double>(shape.sets) *
               std::max(static_cast<double>(shape.experts), min_experts) <=
           max_counts;
}

expert_map initial_map(const group_shape& shape)
{
    set_placement placement(shape.ranks);
    for (unsigned expert = 0; expert < shape.experts; ++expert) {
        placement[expert % shape.ranks].push_back(expert);
    }
    return {0, std::vector<set_placement>(shape.sets, placement)};
}

} // namespace medlaryoke::policy
