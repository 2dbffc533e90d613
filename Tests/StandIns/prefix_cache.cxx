#include "StandIns/prefix_cache.h"

#include <ranges>

namespace medlaryoke::standins {

std::size_t prefix_cache::look_up_and_store(const std::vector<std::uint64_t>& blocks,
                                            std::vector<cache_change>& changes)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && this->positions_.contains(blocks[hits])) {
        ++hits;
    }
    // The longest prefix is stored first, so that a prefix is evicted after the longer ones.
    for (const auto block : std::views::reverse(blocks)) {
        const auto it = this->positions_.find(block);
        if (it != this->positions_.end()) {
            this->blocks_by_use_.splice(this->blocks_by_use_.begin(), this->blocks_by_use_,
                                        it->second);
            continue;
        }
        if (this->capacity_ == 0) {
            continue;
        }
        this->blocks_by_use_.push_front(block);
        this->positions_[block] = this->blocks_by_use_.begin();
        changes.push_back({block, true});
    }
    while (this->positions_.size() > this->capacity_) {
        changes.push_back({this->blocks_by_use_.back(), false});
        this->positions_.erase(this->blocks_by_use_.back());
        this->blocks_by_use_.pop_back();
    }
    return hits;
}

} // namespace medlaryoke::standins
