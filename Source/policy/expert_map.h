#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// The experts that each rank of a lock-step group holds in one set of layers, indexed by rank. All
/// layers of a set have the same placement. Ranks that hold the same expert share its tokens
/// evenly.
using set_placement = std::vector<std::vector<unsigned>>;

/// Placements of all layer sets of a group. Two maps of a group with different contents never have
/// the same version.
struct expert_map {
    std::uint64_t version = 0;
    std::vector<set_placement> sets;

    bool operator==(const expert_map&) const = default;
};

/// Size of a lock-step group and limits of its ranks.
struct group_shape {
    unsigned ranks = 0;
    unsigned sets = 0;                ///< layer sets
    unsigned experts = 0;             ///< experts in each set
    unsigned max_experts_per_set = 0; ///< most experts that a rank can hold in each set
    /// Most experts that a rank can copy for one switch in each set.
    unsigned max_copies_per_set = 0;
    duration copy_time_per_expert{}; ///< time in which a rank copies one expert; zero if unknown

    bool operator==(const group_shape&) const = default;
};

/// Checks a size that a configuration states before memory is taken for it.
/// @param shape size of the group
/// @return whether the counts and the map of such a group can be kept: several times those of the
/// largest groups
[[nodiscard]] bool can_be_kept(const group_shape& shape);

/// @param shape size of the group
/// @return the map that a new group starts with: version 0, experts assigned to ranks round-robin
expert_map initial_map(const group_shape& shape);

} // namespace medlaryoke::policy
