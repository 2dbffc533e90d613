#pragma once

#include <cstddef>
#include <vector>

#include "policy/expert_map.h"
#include "policy/placement_search.h"

namespace medlaryoke::policy {

struct map_search_options {
    /// Experts that a rank takes in for one switch, over all sets. Ranks copy at the same time,
    /// each one expert after the other, so this decides how long a switch takes.
    unsigned copies_per_rank = 4;
    /// Least fall of the highest load of a set, in parts of the mean, that is worth one change.
    double min_gain = 0.03;
};

/// Improves the placements of all sets of a group at once, for shifts of popularity that come
/// every few seconds: the few copies that a short switch allows go to the sets that lengthen the
/// passes most. Steps are short, so that a process that also serves requests can do a few at a
/// time. Not thread safe.
class map_search {
public:
    /// @param shape bounds of the group
    /// @param current the map in use
    /// @param loads tokens by set and expert; not negative
    /// @param pace how many times as long as usual each rank takes for its tokens; empty: once
    /// @param options bounds of one switch
    map_search(const group_shape& shape, const expert_map& current,
               const std::vector<std::vector<double>>& loads, const std::vector<double>& pace,
               map_search_options options);

    /// Makes the best single change of the most skewed set that can still be improved.
    /// @return whether there was one
    bool improve_once();

    /// @return the map after the changes, without a version
    [[nodiscard]] expert_map map() const;

    /// @return longest time of a rank over that of a usual rank with the mean load, before the
    /// changes and on average over the sets: these are worked through one after the other
    [[nodiscard]] double mean_skew_before() const { return this->mean_skew_before_; }

    /// @return the same after the changes
    [[nodiscard]] double mean_skew() const;

    /// @return experts that ranks must copy
    [[nodiscard]] std::size_t copies() const;

private:
    struct set_state {
        placement_search search;
        bool exhausted = false;
    };

    bool improve(placement_search& search);

    group_shape shape_;
    map_search_options options_;
    std::vector<set_state> sets_;
    std::vector<unsigned> copies_; ///< by rank, over all sets
    double mean_skew_before_ = 1;
};

} // namespace medlaryoke::policy
