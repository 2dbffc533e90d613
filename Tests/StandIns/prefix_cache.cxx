#include "StandIns/prefix_cache.h"

#include <ranges>

namespace medlaryoke::standins {

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks,
                              std::vector<cache_change>& changes)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && this->positions_.contains(blocks[hits])) {
        ++hits;
    }
    // Longer prefixes first, so that a prefix is evicted after those that build on it.
    for (const auto block : std::views::reverse(blocks)) {
        const auto it = this->positions_.find(block);
        if (it != this->positions_.end()) {
            this->order_.splice(this->order_.begin(), this->order_, it->second);
            continue;
        }
        if (this->capacity_ == 0) {
            continue;
        }
        this->order_.push_front(block);
        this->positions_[block] = this->order_.begin();
        changes.push_back({block, true});
    }
    while (this->positions_.size() > this->capacity_) {
        changes.push_back({this->order_.back(), false});
        this->positions_.erase(this->order_.back());
        this->order_.pop_back();
    }
    return hits;
}

} // namespace medlaryoke::standins
