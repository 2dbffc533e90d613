#pragma once

#include <cstddef>
#include <vector>

#include "policy/expert_map.h"
#include "policy/placement_search.h"

namespace medlaryoke::policy {

struct map_search_options {
    /// Most experts that a rank may copy for one switch, over all layer sets. Ranks copy in
    /// parallel and each rank copies its experts one after the other, so this bounds the duration
    /// of a switch.
    unsigned max_copies_per_rank = 4;
    /// Smallest worthwhile reduction of the longest rank time of a set by one change, as a fraction
    /// of the time of a rank at usual speed with the mean load.
    double min_gain = 0.03;
};

/// Improves the placements of all layer sets of a group together. The popularity of experts shifts
/// every few seconds, so a switch must be short and allows few copies: they go to the sets that
/// lengthen the group's steps most. Each iteration is short, so that a process that also serves
/// requests can run a few iterations at a time. Not thread safe.
class map_search {
public:
    /// @param shape size of the group and limits of its ranks
    /// @param current the map in use
    /// @param loads number of tokens by set and expert; not negative
    /// @param slowdowns time that each rank takes for a token, relative to a rank at usual speed;
    /// empty: 1 for every rank
    /// @param options limits of one switch
    map_search(const group_shape& shape, const expert_map& current,
               const std::vector<std::vector<double>>& loads, const std::vector<double>& slowdowns,
               map_search_options options);

    /// Applies the best single change to the most skewed set that can still be improved.
    /// @return false if no set can be improved
    bool improve_once();

    /// @return the map after the changes, with version 0
    [[nodiscard]] expert_map map() const;

    /// @return mean skew of the sets before the changes. The skew of a set is the longest time of a
    /// rank divided by the time of a rank at usual speed with the mean load. The mean over the sets
    /// matters because the group runs their layers one after the other.
    [[nodiscard]] double initial_mean_skew() const { return this->initial_mean_skew_; }

    /// @return mean skew of the sets after the changes
    [[nodiscard]] double mean_skew() const;

    /// @return number of experts that ranks must copy for the new map
    [[nodiscard]] std::size_t copies() const;

private:
    struct set_state {
        placement_search search;
        bool exhausted = false; ///< no change is left that brings the minimum gain
    };

    bool improve_set(placement_search& search);

    group_shape shape_;
    map_search_options options_;
    std::vector<set_state> sets_;
    std::vector<unsigned> copies_; ///< number of copies by rank, over all sets
    double initial_mean_skew_ = 1;
};

} // namespace medlaryoke::policy
