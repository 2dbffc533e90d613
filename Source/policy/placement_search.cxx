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
      loads_(loads.begin(), loads.end()), holders_(shape.experts), rank_loads_(shape.ranks)
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

bool placement_search::improve_once(double min_gain)
{
    const auto hottest = static_cast<unsigned>(std::ranges::max_element(this->rank_loads_) -
                                               this->rank_loads_.begin());
    const auto highest = this->rank_loads_[hottest];
    const auto before = this->potential();
    auto best = before;
    std::optional<change> chosen;
    const auto candidates = this->placement_[hottest];
    for (const auto expert : candidates) {
        for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
            if (rank != hottest && !this->holds(rank, expert)) {
                this->consider_rank(expert, hottest, rank, before, best, chosen);
            }
        }
    }
    if (!chosen) {
        return false;
    }
    this->apply(*chosen);
    if (highest - *std::ranges::max_element(this->rank_loads_) < min_gain) {
        // Several ranks may be equally loaded; evening out one of them is progress as well.
        const auto gain = (before - this->potential()) / weight(std::max(highest, 1.0));
        if (gain < min_gain) {
            this->undo(*chosen);
            return false;
        }
    }
    return true;
}

void placement_search::consider_rank(unsigned expert, unsigned from, unsigned rank, double before,
                                     double& best, std::optional<change>& chosen)
{
    const bool has_place = this->placement_[rank].size() < this->shape_.placements;
    if (has_place && this->may_add(rank, expert, std::nullopt)) {
        this->consider({expert, rank, std::nullopt, std::nullopt}, before, best, chosen);
        this->consider({expert, rank, std::nullopt, from}, before, best, chosen);
    }
    const auto held = this->placement_[rank];
    for (const auto other : held) {
        if (!this->may_add(rank, expert, other)) {
            continue;
        }
        if (this->holders_[other].size() > 1) {
            this->consider({expert, rank, other, std::nullopt}, before, best, chosen);
        }
        if (!this->holds(from, other) && this->may_add(from, other, expert)) {
            this->consider({expert, rank, other, from}, before, best, chosen);
        }
    }
}

void placement_search::consider(const change& it, double before, double& best,
                                std::optional<change>& chosen)
{
    const auto value = this->potential_after(it);
    if (value < best && value < before) {
        best = value;
        chosen = it;
    }
}

double placement_search::potential_after(const change& it)
{
    this->apply(it);
    const auto value = this->potential();
    this->undo(it);
    return value;
}

bool placement_search::holds(unsigned rank, unsigned expert) const
{
    return std::ranges::find(this->placement_[rank], expert) != this->placement_[rank].end();
}

bool placement_search::may_add(unsigned rank, unsigned expert,
                               std::optional<unsigned> replaced) const
{
    const auto is_original = [&](unsigned it) {
        return std::ranges::find(this->original_[rank], it) != this->original_[rank].end();
    };
    if (is_original(expert)) {
        return true;
    }
    const auto taken_in = std::ranges::count_if(this->placement_[rank], [&](unsigned it) {
        return !is_original(it) && !(replaced && it == *replaced);
    });
    return static_cast<unsigned>(taken_in) < this->shape_.spare;
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

double placement_search::potential() const
{
    return std::transform_reduce(this->rank_loads_.begin(), this->rank_loads_.end(), 0.0,
                                 std::plus<>{}, weight);
}

double placement_search::skew() const
{
    const auto total = std::accumulate(this->rank_loads_.begin(), this->rank_loads_.end(), 0.0);
    return total > 0 ? *std::ranges::max_element(this->rank_loads_) * this->shape_.ranks / total
                     : 1;
}

std::size_t placement_search::copies() const
{
    std::size_t count = 0;
    for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
        for (const auto expert : this->placement_[rank]) {
            const auto& before = this->original_[rank];
            count += std::ranges::find(before, expert) == before.end() ? 1 : 0;
        }
    }
    return count;
}

} // namespace medlaryoke::policy
