#include "policy/map_search.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace medlaryoke::policy {

map_search::map_search(const group_shape& shape, const expert_map& current,
                       const std::vector<std::vector<double>>& loads,
                       const std::vector<double>& slowdowns, map_search_options options)
    : shape_(shape), options_(options), copies_(shape.ranks)
{
    for (unsigned set = 0; set < shape.sets; ++set) {
        this->sets_.push_back({placement_search(shape, current.sets[set], loads[set], slowdowns)});
    }
    this->initial_mean_skew_ = this->mean_skew();
}

bool map_search::improve_once()
{
    while (true) {
        const auto skew_if_improvable = [](const set_state& it) {
            return it.exhausted ? 0.0 : it.search.skew();
        };
        const auto set = std::ranges::max_element(this->sets_, {}, skew_if_improvable);
        if (set == this->sets_.end() || set->exhausted) {
            return false;
        }
        if (this->improve_set(set->search)) {
            return true;
        }
        set->exhausted = true;
    }
}

bool map_search::improve_set(placement_search& search)
{
    auto other_copies = this->copies_; // copies for the other sets, by rank
    std::vector<unsigned> copy_limits;
    for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
        other_copies[rank] -= search.copies_of(rank);
        copy_limits.push_back(std::max(this->options_.max_copies_per_rank, other_copies[rank]) -
                              other_copies[rank]);
    }
    if (!search.improve_once(this->options_.min_gain, copy_limits)) {
        return false;
    }
    for (unsigned rank = 0; rank < this->shape_.ranks; ++rank) {
        this->copies_[rank] = other_copies[rank] + search.copies_of(rank);
    }
    return true;
}

expert_map map_search::map() const
{
    expert_map map;
    std::ranges::transform(this->sets_, std::back_inserter(map.sets),
                           [](const auto& it) { return it.search.placement(); });
    return map;
}

double map_search::mean_skew() const
{
    const auto sum =
        std::transform_reduce(this->sets_.begin(), this->sets_.end(), 0.0, std::plus<>{},
                              [](const auto& it) { return it.search.skew(); });
    return this->sets_.empty() ? 1 : sum / static_cast<double>(this->sets_.size());
}

std::size_t map_search::copies() const
{
    return std::reduce(this->copies_.begin(), this->copies_.end(), std::size_t{0});
}

} // namespace medlaryoke::policy
