#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "policy/expert_map.h"

namespace medlaryoke::policy {

/// Improves the placement of one layer set by greedy local search. The popularity of experts shifts
/// within seconds, so few experts should be copied: each iteration applies the change at the
/// slowest rank that balances the load most, which puts most of the gain into the first iterations.
/// No rank copies more experts than it can store beside those that it still uses. An iteration
/// evaluates only the ranks that a change affects, because a group of 72 ranks with 12 sets needs
/// hundreds of iterations between two shifts of popularity. Not thread safe.
class placement_search {
public:
    /// @param shape size of the group and limits of its ranks
    /// @param current the placement in use
    /// @param loads number of tokens by expert; not negative
    /// @param slowdowns time that each rank takes for a token, relative to a rank at usual speed;
    /// empty: 1 for every rank
    placement_search(const group_shape& shape, set_placement current, std::span<const double> loads,
                     std::span<const double> slowdowns = {});

    /// Applies the best single change.
    /// @param min_gain smallest worthwhile reduction of the longest rank time, as a fraction of the
    /// time of a rank at usual speed with the mean load
    /// @param copy_limits most experts that each rank may copy for this set, including the copies
    /// of earlier iterations; empty: the limit of the shape
    /// @return false if no change is worthwhile
    bool improve_once(double min_gain, std::span<const unsigned> copy_limits = {});

    /// @return longest time of a rank divided by the time of a rank at usual speed with the mean
    /// load; 1 if there is no load
    [[nodiscard]] double skew() const;

    /// @return the placement after the changes
    [[nodiscard]] const set_placement& placement() const { return this->placement_; }

    /// @param rank index of the rank
    /// @return number of experts that the rank must copy for the new placement
    [[nodiscard]] unsigned copies_of(unsigned rank) const;

    /// @return number of experts that all ranks together must copy for the new placement
    [[nodiscard]] std::size_t copies() const;

private:
    /// One change of the placement: adds an expert to a rank, removes it from a rank, or both. The
    /// added expert may replace another one, which moves to the source rank if there is one. A
    /// change that only removes an expert needs no copy.
    struct change {
        unsigned expert = 0;
        std::optional<unsigned> rank;     ///< rank that receives the expert
        std::optional<unsigned> replaced; ///< expert that the receiving rank drops
        std::optional<unsigned> source;   ///< rank that drops the expert
    };

    /// The best change found in one iteration.
    struct best_change {
        std::optional<change> value;
        double gain = 0; ///< reduction of the sum of time penalties
    };

    [[nodiscard]] bool holds(unsigned rank, unsigned expert) const;
    [[nodiscard]] bool held_originally(unsigned rank, unsigned expert) const;
    [[nodiscard]] bool can_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const;
    [[nodiscard]] double time_of(unsigned rank, double load) const;
    [[nodiscard]] unsigned slowest_rank() const;
    [[nodiscard]] double gain_of(const change& it);
    void consider_change(const change& it, best_change& best);
    void consider_changes_with_rank(unsigned expert, unsigned from, unsigned rank,
                                    best_change& best);
    /// Adds the load changes that a move of an expert would cause to load_deltas_.
    void add_move_deltas(unsigned expert, std::optional<unsigned> from, std::optional<unsigned> to);
    void add_load_delta(unsigned rank, double load);
    void apply(const change& it);
    void undo(const change& it);
    void add(unsigned rank, unsigned expert);
    void remove(unsigned rank, unsigned expert);
    /// Adds the load of an expert, multiplied by a sign, to the ranks that hold it.
    void add_expert_load(unsigned expert, double sign);

    group_shape shape_;
    set_placement original_;
    set_placement placement_;
    std::vector<double> loads_; ///< by expert, relative to the mean load of a rank
    std::vector<std::vector<unsigned>> holding_ranks_; ///< ranks that hold an expert, by expert
    std::vector<double> rank_loads_;
    std::vector<double> slowdowns_;        ///< relative time per token, by rank
    std::vector<unsigned> copy_limits_;    ///< most copies in this iteration, by rank
    std::vector<double> load_deltas_;      ///< load changes by rank; zero outside gain_of
    std::vector<unsigned> affected_ranks_; ///< ranks with a load change; may contain duplicates
};

} // namespace medlaryoke::policy
