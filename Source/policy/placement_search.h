#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "policy/expert_map.h"

namespace medlaryoke::policy {

/// Improves the placement of one set step by step, for popularity that shifts within seconds: each
/// step makes the one change at the most loaded rank that evens the load most, so that the first
/// steps bring most of the gain and few experts are copied. No rank takes in more experts than it
/// has room for beside those that it still serves with. Steps are short, so that a process that
/// also serves requests can do one at a time. Not thread safe.
class placement_search {
public:
    /// @param shape bounds of the group
    /// @param current the placement in use
    /// @param loads tokens by expert; not negative
    placement_search(const group_shape& shape, set_placement current,
                     std::span<const double> loads);

    /// Makes the best single change.
    /// @param min_gain least fall of the highest load, in parts of the mean load
    /// @return whether there was one
    bool improve_once(double min_gain);

    /// @return highest load of a rank over the mean; 1 without load
    [[nodiscard]] double skew() const;

    /// @return the placement after the changes
    [[nodiscard]] const set_placement& placement() const { return this->placement_; }

    /// @return experts that ranks hold now and did not hold before
    [[nodiscard]] std::size_t copies() const;

private:
    /// Adds an expert to a rank, in place of another one or on a free place; in an exchange the
    /// replaced one goes to the rank from which the expert comes.
    struct change {
        unsigned expert = 0;
        unsigned rank = 0;
        std::optional<unsigned> replaced;
        std::optional<unsigned> source; ///< rank that gives the expert away
    };

    [[nodiscard]] bool holds(unsigned rank, unsigned expert) const;
    [[nodiscard]] bool may_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const;
    [[nodiscard]] double potential_after(const change& it);
    void consider(const change& it, double before, double& best, std::optional<change>& chosen);
    void consider_rank(unsigned expert, unsigned from, unsigned rank, double before, double& best,
                       std::optional<change>& chosen);
    void apply(const change& it);
    void undo(const change& it);
    void add(unsigned rank, unsigned expert);
    void remove(unsigned rank, unsigned expert);
    void spread(unsigned expert, double sign);
    [[nodiscard]] double potential() const;

    group_shape shape_;
    set_placement original_;
    set_placement placement_;
    std::vector<double> loads_;                  ///< by expert, in parts of the mean load of a rank
    std::vector<std::vector<unsigned>> holders_; ///< ranks by expert
    std::vector<double> rank_loads_;
};

} // namespace medlaryoke::policy
