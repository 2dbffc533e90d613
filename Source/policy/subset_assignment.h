#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Name and location of an entry or an upstream.
struct subset_member {
    std::string name;
    std::string data_centre;
};

struct subset_options {
    unsigned subset_size = 24; ///< upstreams for each entry
    /// Minimum number of upstreams for each entry. If its data centre has fewer, the subset is
    /// filled from other data centres.
    unsigned min_subset_size = 1;
    /// Capacity of an upstream beyond its even share of the entries, as a fraction of that share.
    /// Spare capacity limits how many entries a membership change affects. With 0.1, the capacity
    /// had no effect at 70 entries with 24 of 27 upstreams each.
    double slack = 0.02;
};

/// Budget for the heartbeats on all links of an instance.
struct control_budget {
    double bytes_per_second = 5'000;
    double bytes_per_heartbeat = 40; ///< in one direction
    duration heartbeat_interval = std::chrono::milliseconds(500);
    std::size_t other_links = 8; ///< links to peers
};

/// Computes the largest subset size whose heartbeats in both directions stay within a budget.
/// @param max_size upper bound of the result
/// @param models number of models, each with its own subset
/// @param budget budget for the heartbeats
/// @return size of the subset of each model; at least 2, unless max_size is smaller, so that there
/// is a choice of upstreams even if this exceeds the budget
unsigned affordable_subset_size(unsigned max_size, std::size_t models,
                                const control_budget& budget);

/// Assigns to each entry a subset of the upstreams of one model by deferred acceptance: entries
/// propose to upstreams in the order of a hash, and each upstream keeps the proposals with the
/// lowest hash up to its capacity. The result depends only on the membership, so that all instances
/// compute the same assignment.
class subset_assignment {
public:
    /// @param entries all entries
    /// @param upstreams all upstreams that serve the model
    /// @param options subset sizes and capacity
    subset_assignment(const std::vector<subset_member>& entries,
                      const std::vector<subset_member>& upstreams, subset_options options = {});

    /// @param entry name of an entry
    /// @return sorted names of the upstreams it connects to; empty for an unknown entry
    [[nodiscard]] const std::vector<std::string>& upstreams_of(const std::string& entry) const;

private:
    /// Adds upstreams to the subset of each entry.
    /// @param entries names of the entries
    /// @param upstreams names of the upstreams to choose from
    /// @param size upstreams for each entry
    /// @param slack see subset_options::slack
    void assign(const std::vector<std::string>& entries, const std::vector<std::string>& upstreams,
                unsigned size, double slack);

    std::map<std::string, std::vector<std::string>> subsets_;
};

} // namespace medlaryoke::policy
