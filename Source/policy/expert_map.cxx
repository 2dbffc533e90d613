#include "policy/expert_map.h"

namespace medlaryoke::policy {

expert_map initial_map(const group_shape& shape)
{
    set_placement placement(shape.ranks);
    for (unsigned expert = 0; expert < shape.experts; ++expert) {
        placement[expert % shape.ranks].push_back(expert);
    }
    return {0, std::vector<set_placement>(shape.sets, placement)};
}

} // namespace medlaryoke::policy
