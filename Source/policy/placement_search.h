#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "policy/expert_map.h"

namespace medlaryoke::policy {

/// Improves the placement of one set step by step, for popularity that shifts within seconds: each
/// step makes the one change at the slowest rank that evens the load most, so that the first
/// steps bring most of the gain and few experts are copied. No rank takes in more experts than it
/// has room for beside those that it still serves with. A step weighs only the ranks that a change
/// touches, because a group of 72 ranks with 12 sets takes hundreds of steps between two shifts.
/// Not thread safe.
class placement_search {
public:
    /// @param shape bounds of the group
    /// @param current the placement in use
    /// @param loads tokens by expert; not negative
    /// @param pace how many times as long as usual each rank takes for its tokens; empty: once
    placement_search(const group_shape& shape, set_placement current, std::span<const double> loads,
                     std::span<const double> pace = {});

    /// Makes the best single change.
    /// @param min_gain least fall of the highest load, in parts of the mean load
    /// @param room experts that each rank may take in for this set, those of earlier steps
    /// included; without it as many as the shape says
    /// @return whether there was one
    bool improve_once(double min_gain, std::span<const unsigned> room = {});

    /// @return longest time of a rank over that of a usual rank with the mean load; 1 without load
    [[nodiscard]] double skew() const;

    /// @return the placement after the changes
    [[nodiscard]] const set_placement& placement() const { return this->placement_; }

    /// @return experts that a rank holds now and did not hold before
    [[nodiscard]] unsigned copies_of(unsigned rank) const;

    /// @return experts that all ranks hold now and did not hold before
    [[nodiscard]] std::size_t copies() const;

private:
    /// Adds an expert to a rank, in place of another one or on a free place; in an exchange the
    /// replaced one goes to the rank from which the expert comes. Or only takes an expert from a
    /// rank, which needs no copy.
    struct change {
        unsigned expert = 0;
        std::optional<unsigned> rank; ///< takes the expert in
        std::optional<unsigned> replaced;
        std::optional<unsigned> source; ///< gives the expert away
    };

    /// The best change seen in a step.
    struct candidate {
        std::optional<change> best;
        double gain = 0; ///< fall of the potential
    };

    [[nodiscard]] bool holds(unsigned rank, unsigned expert) const;
    [[nodiscard]] bool held_before(unsigned rank, unsigned expert) const;
    [[nodiscard]] bool may_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const;
    [[nodiscard]] double time_of(unsigned rank, double load) const;
    [[nodiscard]] unsigned slowest_rank() const;
    [[nodiscard]] double gain_of(const change& it);
    void consider(const change& it, candidate& found);
    void consider_rank(unsigned expert, unsigned from, unsigned rank, candidate& found);
    void move_load(unsigned expert, std::optional<unsigned> from, std::optional<unsigned> to);
    void shift(unsigned rank, double load);
    void apply(const change& it);
    void undo(const change& it);
    void add(unsigned rank, unsigned expert);
    void remove(unsigned rank, unsigned expert);
    void spread(unsigned expert, double sign);

    group_shape shape_;
    set_placement original_;
    set_placement placement_;
    std::vector<double> loads_;                  ///< by expert, in parts of the mean load of a rank
    std::vector<std::vector<unsigned>> holders_; ///< ranks by expert
    std::vector<double> rank_loads_;
    std::vector<double> pace_;      ///< by rank
    std::vector<unsigned> room_;    ///< by rank, in this step
    std::vector<double> shifts_;    ///< by rank, change of its load; zero outside gain_of
    std::vector<unsigned> touched_; ///< ranks with a shift
};

} // namespace medlaryoke::policy
