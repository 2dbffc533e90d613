#include "policy/placement_search.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace medlaryoke::policy {

namespace {

/// Weighs high loads so that the highest rank decides and ties fall to the more even rest.
double weight(double load)
{
    const auto square = load * load;
    return square * square * square;
}

} // namespace

placement_search::placement_search(const group_shape& shape, set_placement current,
                                   std::span<const double> loads)
    : shape_(shape), original_(std::move(current)), placement_(original_),
      loads_(loads.begin(), loads.end()), holders_(shape.experts), rank_loads_(shape.ranks),
      room_(shape.ranks), shifts_(shape.ranks)
{
    this->loads_.resize(shape.experts);
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
    const auto hottest = static_cast<unsigned>(std::ranges::max_element(this->rank_loads_) -
                                               this->rank_loads_.begin());
    const auto highest = this->rank_loads_[hottest];
    candidate found;
    for (const auto expert : this->placement_[hottest]) {
        for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
            if (rank != hottest && !this->holds(rank, expert)) {
                this->consider_rank(expert, hottest, rank, found);
            }
        }
    }
    if (!found.best) {
        return false;
    }
    this->apply(*found.best);
    // Several ranks may be equally loaded; evening out one of them is progress as well.
    const auto fall = highest - *std::ranges::max_element(this->rank_loads_);
    if (fall < min_gain && found.gain / weight(std::max(highest, 1.0)) < min_gain) {
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
        this->consider({expert, rank, std::nullopt, from}, found);
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
        gain += weight(load) - weight(load + this->shifts_[rank]);
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
        this->remove(it.rank, *it.replaced);
    }
    this->add(it.rank, it.expert);
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
    this->remove(it.rank, it.expert);
    if (it.replaced) {
        this->add(it.rank, *it.replaced);
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

double placement_search::skew() const
{
    const auto total = std::accumulate(this->rank_loads_.begin(), this->rank_loads_.end(), 0.0);
    return total > 0 ? *std::ranges::max_element(this->rank_loads_) * this->shape_.ranks / total
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
