#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Which experts each rank of a lock-step group holds, for one set of layers that are placed
/// alike: experts by rank. An expert may be held by several ranks, which share its tokens evenly.
using set_placement = std::vector<std::vector<unsigned>>;

/// A map of all sets. Versions of one group never stand for two contents.
struct expert_map {
    std::uint64_t version = 0;
    std::vector<set_placement> sets;

    bool operator==(const expert_map&) const = default;
};

/// Bounds of a group.
struct group_shape {
    unsigned ranks = 0;
    unsigned sets = 0;
    unsigned experts = 0;    ///< in each set
    unsigned placements = 0; ///< experts that a rank holds at most, in each set
    unsigned spare = 0;      ///< experts that a rank can take in for one switch, in each set
    duration copy_time{};    ///< in which a rank copies one expert; zero: unknown

    bool operator==(const group_shape&) const = default;
};

/// @return the map with which a group begins: version 0, experts in turn
expert_map first_map(const group_shape& shape);

} // namespace medlaryoke::policy
