#pragma once

#include <map>
#include <string>
#include <vector>

#include "model/route_config.h"
#include "model/upstream_entry.h"

namespace medlaryoke::policy {

/// The engines of a lock-step group, one for each rank.
struct group_roster {
    std::string service;
    std::vector<model::upstream_entry> ranks; ///< by rank
};

/// Two entries of the list of upstreams that cannot both be true.
struct roster_conflict {
    std::string group;
    std::string problem;   ///< what both claim, such as `both are rank 3`
    std::string upstreams; ///< ids of the two entries
};

/// The groups in a list of upstreams.
struct group_rosters {
    std::map<std::string, group_roster> complete; ///< by name; one engine is known for each rank
    std::vector<roster_conflict> conflicts;       ///< keep their groups out of `complete`
};

/// Finds the engine of each rank. An engine that crashed stays listed for some time beside its
/// successor, so of two entries for one rank or one address the one that started later counts. A
/// group is left out if that does not decide, or if its entries state different sizes or services:
/// orders for one rank that reach another would let the group run with two maps.
/// @param upstreams entries of all services
/// @return the groups in which each rank is known, and the conflicts that were found
group_rosters find_rosters(const std::vector<model::upstream_entry>& upstreams);

/// Removes entries that cannot describe an engine of their service: all engines of a service with
/// experts are ranks of a group.
/// @param upstreams all entries
/// @param config configuration with the services
/// @return the other entries, in the same order
std::vector<model::upstream_entry>
without_unusable_entries(std::vector<model::upstream_entry> upstreams,
                         const model::route_config& config);

} // namespace medlaryoke::policy
