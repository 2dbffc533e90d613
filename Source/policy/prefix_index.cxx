#include "policy/prefix_index.h"

#include <ranges>

namespace medlaryoke::policy {

prefix_index::prefix_index(prefix_index_options options) : options_(options) {}

void prefix_index::record(std::uint64_t upstream, std::span<const std::uint64_t> prefixes,
                          time_point now)
{
    // The shortest prefix is added last and so erased last, because the longer ones depend on it.
    for (const auto prefix : prefixes | std::views::reverse) {
        const cache_key key{upstream, prefix};
        const auto it = this->by_key_.find(key);
        if (it != this->by_key_.end()) {
            it->second->last_used = now;
            this->by_last_use_.splice(this->by_last_use_.begin(), this->by_last_use_, it->second);
            continue;
        }
        this->by_last_use_.push_front({key, now});
        this->by_key_.emplace(key, this->by_last_use_.begin());
    }
    while (this->by_key_.size() > this->options_.max_entries) {
        this->by_key_.erase(this->by_last_use_.back().key);
        this->by_last_use_.pop_back();
    }
}

void prefix_index::on_evicted(std::uint64_t upstream, std::uint64_t prefix, time_point now)
{
    const auto it = this->by_key_.find({upstream, prefix});
    if (it == this->by_key_.end() || now - it->second->last_used < this->options_.event_lag) {
        return;
    }
    this->by_last_use_.erase(it->second);
    this->by_key_.erase(it);
}

std::size_t prefix_index::cached_prefix_count(std::uint64_t upstream,
                                              std::span<const std::uint64_t> prefixes,
                                              time_point now) const
{
    for (std::size_t n = prefixes.size(); n > 0; --n) {
        const auto it = this->by_key_.find({upstream, prefixes[n - 1]});
        if (it != this->by_key_.end() && now - it->second->last_used <= this->options_.max_age) {
            return n;
        }
    }
    return 0;
}

} // namespace medlaryoke::policy
