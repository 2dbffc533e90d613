#include "policy/placement_search.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace medlaryoke::policy {

namespace {

/// @return time to the sixth power. In a sum over ranks the slowest rank dominates, and among equal
/// slowest ranks the placement with the more even remaining ranks has the lower sum.
double time_penalty(double time)
{
    const auto square = time * time;
    return square * square * square;
}

// From this slowdown on, a replica may be removed from a rank without a replacement. Other ranks
// keep their replicas, because these soften the next shift of popularity.
constexpr double min_slowdown_for_removal = 1.3;

} // namespace

placement_search::placement_search(const group_shape& shape, set_placement current,
                                   std::span<const double> loads, std::span<const double> slowdowns)
    : shape_(shape), original_(std::move(current)), placement_(original_),
      loads_(loads.begin(), loads.end()), holding_ranks_(shape.experts), rank_loads_(shape.ranks),
      slowdowns_(slowdowns.begin(), slowdowns.end()), copy_limits_(shape.ranks),
      load_deltas_(shape.ranks)
{
    this->loads_.resize(shape.experts);
    this->slowdowns_.resize(shape.ranks, 1.0);
    const auto total = std::accumulate(this->loads_.begin(), this->loads_.end(), 0.0);
    if (total > 0) {
        const auto mean = total / shape.ranks;
        std::ranges::for_each(this->loads_, [mean](double& it) { it /= mean; });
    }
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        for (const auto expert : this->placement_[rank]) {
            this->holding_ranks_[expert].push_back(rank);
        }
    }
    for (unsigned expert = 0; expert < shape.experts; ++expert) {
        this->add_expert_load(expert, 1);
    }
}

bool placement_search::improve_once(double min_gain, std::span<const unsigned> copy_limits)
{
    if (copy_limits.empty()) {
        std::ranges::fill(this->copy_limits_, this->shape_.max_copies_per_set);
    }
    else {
        std::ranges::transform(copy_limits, this->copy_limits_.begin(), [this](unsigned it) {
            return std::min(it, this->shape_.max_copies_per_set);
        });
    }
    const auto slowest = this->slowest_rank();
    const auto longest = this->time_of(slowest, this->rank_loads_[slowest]);
    best_change best;
    const bool can_remove = this->slowdowns_[slowest] >= min_slowdown_for_removal &&
                            this->placement_[slowest].size() > 1;
    for (const auto expert : this->placement_[slowest]) {
        if (can_remove && this->holding_ranks_[expert].size() > 1) {
            this->consider_change({expert, std::nullopt, std::nullopt, slowest}, best);
        }
        for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
            if (rank != slowest && !this->holds(rank, expert)) {
                this->consider_changes_with_rank(expert, slowest, rank, best);
            }
        }
    }
    if (!best.value) {
        return false;
    }
    this->apply(*best.value);
    // If several ranks are equally slow, the longest time stays, but the relief of one of them
    // still counts as gain.
    const auto next = this->slowest_rank();
    const auto reduction = longest - this->time_of(next, this->rank_loads_[next]);
    if (reduction < min_gain && best.gain / time_penalty(std::max(longest, 1.0)) < min_gain) {
        this->undo(*best.value);
        return false;
    }
    return true;
}

void placement_search::consider_changes_with_rank(unsigned expert, unsigned from, unsigned rank,
                                                  best_change& best)
{
    const bool has_free_place = this->placement_[rank].size() < this->shape_.max_experts_per_set;
    if (has_free_place && this->can_add(rank, expert, std::nullopt)) {
        this->consider_change({expert, rank, std::nullopt, std::nullopt}, best);
        if (this->placement_[from].size() > 1) {
            this->consider_change({expert, rank, std::nullopt, from}, best);
        }
    }
    for (const auto other : this->placement_[rank]) {
        if (!this->can_add(rank, expert, other)) {
            continue;
        }
        if (this->holding_ranks_[other].size() > 1) {
            this->consider_change({expert, rank, other, std::nullopt}, best);
        }
        if (!this->holds(from, other) && this->can_add(from, other, expert)) {
            this->consider_change({expert, rank, other, from}, best);
        }
    }
}

void placement_search::consider_change(const change& it, best_change& best)
{
    const auto gain = this->gain_of(it);
    if (gain > best.gain) {
        best = {it, gain};
    }
}

double placement_search::gain_of(const change& it)
{
    this->add_move_deltas(it.expert, it.source, it.rank);
    if (it.replaced) {
        this->add_move_deltas(*it.replaced, it.rank, it.source);
    }
    double gain = 0;
    for (const auto rank : this->affected_ranks_) {
        const auto load = this->rank_loads_[rank];
        gain += time_penalty(this->time_of(rank, load)) -
                time_penalty(this->time_of(rank, load + this->load_deltas_[rank]));
        this->load_deltas_[rank] = 0; // a rank that is listed twice must count once
    }
    this->affected_ranks_.clear();
    return gain;
}

void placement_search::add_move_deltas(unsigned expert, std::optional<unsigned> from,
                                       std::optional<unsigned> to)
{
    const auto& ranks = this->holding_ranks_[expert];
    const auto before = ranks.size();
    const auto after = before + (to ? 1 : 0) - (from ? 1 : 0);
    const auto new_share = this->loads_[expert] / static_cast<double>(after);
    if (after != before) {
        const auto old_share = this->loads_[expert] / static_cast<double>(before);
        for (const auto rank : ranks) {
            this->add_load_delta(rank, new_share - old_share);
        }
    }
    if (from) {
        this->add_load_delta(*from, -new_share);
    }
    if (to) {
        this->add_load_delta(*to, new_share);
    }
}

void placement_search::add_load_delta(unsigned rank, double load)
{
    this->affected_ranks_.push_back(rank);
    this->load_deltas_[rank] += load;
}

bool placement_search::holds(unsigned rank, unsigned expert) const
{
    return std::ranges::find(this->placement_[rank], expert) != this->placement_[rank].end();
}

bool placement_search::held_originally(unsigned rank, unsigned expert) const
{
    return std::ranges::find(this->original_[rank], expert) != this->original_[rank].end();
}

bool placement_search::can_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const
{
    if (this->held_originally(rank, expert)) {
        return true;
    }
    const bool replaces_copy = replaced && !this->held_originally(rank, *replaced);
    return this->copies_of(rank) - (replaces_copy ? 1 : 0) < this->copy_limits_[rank];
}

void placement_search::apply(const change& it)
{
    if (it.replaced) {
        this->remove(*it.rank, *it.replaced);
    }
    if (it.rank) {
        this->add(*it.rank, it.expert);
    }
    if (it.source) {
        this->remove(*it.source, it.expert);
        if (it.replaced) {
            this->add(*it.source, *it.replaced);
        }
    }
}

void placement_search::undo(const change& it)
{
    if (it.source) {
        if (it.replaced) {
            this->remove(*it.source, *it.replaced);
        }
        this->add(*it.source, it.expert);
    }
    if (it.rank) {
        this->remove(*it.rank, it.expert);
    }
    if (it.replaced) {
        this->add(*it.rank, *it.replaced);
    }
}

void placement_search::add(unsigned rank, unsigned expert)
{
    this->add_expert_load(expert, -1);
    this->holding_ranks_[expert].push_back(rank);
    this->placement_[rank].push_back(expert);
    this->add_expert_load(expert, 1);
}

void placement_search::remove(unsigned rank, unsigned expert)
{
    this->add_expert_load(expert, -1);
    std::erase(this->holding_ranks_[expert], rank);
    std::erase(this->placement_[rank], expert);
    this->add_expert_load(expert, 1);
}

void placement_search::add_expert_load(unsigned expert, double sign)
{
    const auto& ranks = this->holding_ranks_[expert];
    if (ranks.empty()) {
        return;
    }
    const auto share = sign * this->loads_[expert] / static_cast<double>(ranks.size());
    for (const auto rank : ranks) {
        this->rank_loads_[rank] += share;
    }
}

double placement_search::time_of(unsigned rank, double load) const
{
    return load * this->slowdowns_[rank];
}

unsigned placement_search::slowest_rank() const
{
    unsigned slowest = 0;
    for (unsigned rank = 1; rank < this->shape_.ranks; ++rank) {
        if (this->time_of(rank, this->rank_loads_[rank]) >
            this->time_of(slowest, this->rank_loads_[slowest])) {
            slowest = rank;
        }
    }
    return slowest;
}

double placement_search::skew() const
{
    const auto total = std::reduce(this->rank_loads_.begin(), this->rank_loads_.end());
    const auto slowest = this->slowest_rank();
    return total > 0
               ? this->time_of(slowest, this->rank_loads_[slowest]) * this->shape_.ranks / total
               : 1;
}

unsigned placement_search::copies_of(unsigned rank) const
{
    return static_cast<unsigned>(std::ranges::count_if(
        this->placement_[rank], [&](unsigned it) { return !this->held_originally(rank, it); }));
}

std::size_t placement_search::copies() const
{
    std::size_t count = 0;
    for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
        count += this->copies_of(rank);
    }
    return count;
}

} // namespace medlaryoke::policy
