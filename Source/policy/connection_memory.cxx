#include "policy/connection_memory.h"

#include <tuple>

namespace medlaryoke::policy {

std::vector<std::uint64_t> connection_memory::set(std::uint64_t connection, std::size_t bytes,
                                                  bool can_give_up, time_point now)
{
    auto& it = this->holders_[connection];
    if (bytes > it.bytes) {
        it.grown_at = now;
    }
    this->held_ = this->held_ - it.bytes + bytes;
    it.bytes = bytes;
    it.can_give_up = can_give_up;
    if (bytes == 0) {
        this->holders_.erase(connection);
    }
    std::vector<std::uint64_t> chosen;
    while (this->held_ > this->options_.capacity) {
        const auto victim = this->choose(now);
        if (victim == this->holders_.end()) {
            break;
        }
        chosen.push_back(victim->first);
        this->held_ -= victim->second.bytes;
        this->holders_.erase(victim);
    }
    return chosen;
}

connection_memory::holder_map::iterator connection_memory::choose(time_point now)
{
    const auto rank = [this, now](const holder& it) {
        const bool is_large = it.bytes > this->options_.small_bytes;
        const bool is_stalled = now - it.grown_at >= this->options_.stall_time;
        return std::tuple(is_large, is_stalled, it.bytes, now - it.grown_at);
    };
    auto best = this->holders_.end();
    for (auto it = this->holders_.begin(); it != this->holders_.end(); ++it) {
        if (it->second.can_give_up &&
            (best == this->holders_.end() || rank(it->second) > rank(best->second))) {
            best = it;
        }
    }
    return best;
}

} // namespace medlaryoke::policy
