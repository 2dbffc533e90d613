#include "policy/placement_search.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace medlaryoke::policy {

namespace {

/// Weighs long times so that the slowest rank decides and ties fall to the more even rest.
double weight(double time)
{
    const auto square = time * time;
    return square * square * square;
}

// From this pace on an expert is taken from a rank without a replacement. Elsewhere such copies
// stay: they make the next shift of popularity less steep.
constexpr double slow_pace = 1.3;

} // namespace

placement_search::placement_search(const group_shape& shape, set_placement current,
                                   std::span<const double> loads, std::span<const double> pace)
    : shape_(shape), original_(std::move(current)), placement_(original_),
      loads_(loads.begin(), loads.end()), holders_(shape.experts), rank_loads_(shape.ranks),
      pace_(pace.begin(), pace.end()), room_(shape.ranks), shifts_(shape.ranks)
{
    this->loads_.resize(shape.experts);
    this->pace_.resize(shape.ranks, 1.0);
    const auto total = std::accumulate(this->loads_.begin(), this->loads_.end(), 0.0);
    if (total > 0) {
        const auto mean = total / shape.ranks;
        std::ranges::for_each(this->loads_, [mean](double& it) { it /= mean; });
    }
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        for (const auto expert : this->placement_[rank]) {
            this->holders_[expert].push_back(rank);
        }
    }
    for (unsigned expert = 0; expert < shape.experts; ++expert) {
        this->spread(expert, 1);
    }
}

bool placement_search::improve_once(double min_gain, std::span<const unsigned> room)
{
    if (room.empty()) {
        std::ranges::fill(this->room_, this->shape_.spare);
    }
    else {
        std::ranges::transform(room, this->room_.begin(),
                               [this](unsigned it) { return std::min(it, this->shape_.spare); });
    }
    const auto slowest = this->slowest_rank();
    const auto longest = this->time_of(slowest, this->rank_loads_[slowest]);
    candidate found;
    const bool may_drop = this->pace_[slowest] >= slow_pace && this->placement_[slowest].size() > 1;
    for (const auto expert : this->placement_[slowest]) {
        if (may_drop && this->holders_[expert].size() > 1) {
            this->consider({expert, std::nullopt, std::nullopt, slowest}, found);
        }
        for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
            if (rank != slowest && !this->holds(rank, expert)) {
                this->consider_rank(expert, slowest, rank, found);
            }
        }
    }
    if (!found.best) {
        return false;
    }
    this->apply(*found.best);
    // Several ranks may be equally slow; evening out one of them is progress as well.
    const auto next = this->slowest_rank();
    const auto fall = longest - this->time_of(next, this->rank_loads_[next]);
    if (fall < min_gain && found.gain / weight(std::max(longest, 1.0)) < min_gain) {
        this->undo(*found.best);
        return false;
    }
    return true;
}

void placement_search::consider_rank(unsigned expert, unsigned from, unsigned rank,
                                     candidate& found)
{
    const bool has_place = this->placement_[rank].size() < this->shape_.placements;
    if (has_place && this->may_add(rank, expert, std::nullopt)) {
        this->consider({expert, rank, std::nullopt, std::nullopt}, found);
        if (this->placement_[from].size() > 1) {
            this->consider({expert, rank, std::nullopt, from}, found);
        }
    }
    for (const auto other : this->placement_[rank]) {
        if (!this->may_add(rank, expert, other)) {
            continue;
        }
        if (this->holders_[other].size() > 1) {
            this->consider({expert, rank, other, std::nullopt}, found);
        }
        if (!this->holds(from, other) && this->may_add(from, other, expert)) {
            this->consider({expert, rank, other, from}, found);
        }
    }
}

void placement_search::consider(const change& it, candidate& found)
{
    const auto gain = this->gain_of(it);
    if (gain > found.gain) {
        found = {it, gain};
    }
}

double placement_search::gain_of(const change& it)
{
    this->move_load(it.expert, it.source, it.rank);
    if (it.replaced) {
        this->move_load(*it.replaced, it.rank, it.source);
    }
    double gain = 0;
    for (const auto rank : this->touched_) {
        const auto load = this->rank_loads_[rank];
        gain += weight(this->time_of(rank, load)) -
                weight(this->time_of(rank, load + this->shifts_[rank]));
        this->shifts_[rank] = 0; // a rank that was touched twice counts once
    }
    this->touched_.clear();
    return gain;
}

void placement_search::move_load(unsigned expert, std::optional<unsigned> from,
                                 std::optional<unsigned> to)
{
    const auto& holders = this->holders_[expert];
    const auto before = holders.size();
    const auto after = before + (to ? 1 : 0) - (from ? 1 : 0);
    const auto new_part = this->loads_[expert] / static_cast<double>(after);
    if (after != before) {
        const auto old_part = this->loads_[expert] / static_cast<double>(before);
        for (const auto rank : holders) {
            this->shift(rank, new_part - old_part);
        }
    }
    if (from) {
        this->shift(*from, -new_part);
    }
    if (to) {
        this->shift(*to, new_part);
    }
}

void placement_search::shift(unsigned rank, double load)
{
    this->touched_.push_back(rank);
    this->shifts_[rank] += load;
}

bool placement_search::holds(unsigned rank, unsigned expert) const
{
    return std::ranges::find(this->placement_[rank], expert) != this->placement_[rank].end();
}

bool placement_search::held_before(unsigned rank, unsigned expert) const
{
    return std::ranges::find(this->original_[rank], expert) != this->original_[rank].end();
}

bool placement_search::may_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const
{
    if (this->held_before(rank, expert)) {
        return true;
    }
    const bool replaces_copy = replaced && !this->held_before(rank, *replaced);
    return this->copies_of(rank) - (replaces_copy ? 1 : 0) < this->room_[rank];
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
    this->spread(expert, -1);
    this->holders_[expert].push_back(rank);
    this->placement_[rank].push_back(expert);
    this->spread(expert, 1);
}

void placement_search::remove(unsigned rank, unsigned expert)
{
    this->spread(expert, -1);
    std::erase(this->holders_[expert], rank);
    std::erase(this->placement_[rank], expert);
    this->spread(expert, 1);
}

void placement_search::spread(unsigned expert, double sign)
{
    const auto& holders = this->holders_[expert];
    if (holders.empty()) {
        return;
    }
    const auto part = sign * this->loads_[expert] / static_cast<double>(holders.size());
    for (const auto rank : holders) {
        this->rank_loads_[rank] += part;
    }
}

double placement_search::time_of(unsigned rank, double load) const
{
    return load * this->pace_[rank];
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
        this->placement_[rank], [&](unsigned it) { return !this->held_before(rank, it); }));
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
