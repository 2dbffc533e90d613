#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

struct subset_member {
    std::string name;
    std::string data_centre;
};

struct subset_options {
    unsigned subset_size = 24; ///< upstreams for each entry
    /// Upstreams that an entry connects to at least: if its own data centre has fewer, the subset
    /// is filled from others.
    unsigned min_subset_size = 1;
    /// Room of an upstream beyond its even part. Spare room keeps a change from spreading; with 0.1
    /// the capacity had no effect at 70 entries with 24 of 27 upstreams each.
    double slack = 0.02;
};

/// What the links of an instance may cost.
struct control_budget {
    double bytes_per_second = 5'000;
    double bytes_per_heartbeat = 40; ///< one way
    duration heartbeat_interval = std::chrono::milliseconds(500);
    std::size_t other_links = 8; ///< to peers
};

/// Finds the largest subset whose heartbeats in both directions stay within a budget.
/// @param most largest size wanted
/// @param models number of models, each with its own subset
/// @param budget what the links may cost
/// @return size of the subset for each model, at least 2 so that there is a choice
unsigned affordable_subset_size(unsigned most, std::size_t models, const control_budget& budget);

/// Assigns to each entry a subset of the upstreams of one model. Deferred acceptance: entries
/// propose in the order of a hash, upstreams keep the proposals with the best hash up to their
/// capacity. The result depends only on the membership, so all instances compute the same.
class subset_assignment {
public:
    /// @param entries all entries
    /// @param upstreams all upstreams that serve the model
    /// @param options sizes
    subset_assignment(const std::vector<subset_member>& entries,
                      const std::vector<subset_member>& upstreams, subset_options options = {});

    /// @param entry name of an entry
    /// @return sorted names of the upstreams it connects to; empty for an unknown entry
    [[nodiscard]] const std::vector<std::string>& upstreams_of(const std::string& entry) const;

private:
    void assign(const std::vector<std::string>& entries, const std::vector<std::string>& upstreams,
                unsigned size, double slack);

    std::map<std::string, std::vector<std::string>> subsets_;
};

} // namespace medlaryoke::policy
