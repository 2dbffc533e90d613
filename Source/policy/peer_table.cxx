#include "policy/peer_table.h"

namespace medlaryoke::policy {

peer_table::peer_table(peer_table_options options) : options_(options) {}

bool peer_table::on_beat(const peer_beat& beat, time_point now)
{
    const auto found = this->peers_.find(beat.instance);
    if (found == this->peers_.end()) {
        this->peers_[beat.instance] = {beat, now};
        return true;
    }
    auto& it = found->second;
    if (it.beat.incarnation == beat.incarnation && beat.number <= it.beat.number) {
        return false;
    }
    const bool was_silent = this->is_silent(it, now);
    it = {beat, now};
    return was_silent;
}

void peer_table::on_tick(time_point now)
{
    if (this->last_tick_ != time_point{} && now - this->last_tick_ > this->options_.own_stall) {
        for (auto& [name, it] : this->peers_) {
            it.heard += now - this->last_tick_;
        }
    }
    this->last_tick_ = now;
    std::erase_if(this->peers_, [this, now](const auto& it) {
        return now - it.second.heard > this->options_.forget;
    });
}

std::vector<const peer_beat*> peer_table::alive(time_point now) const
{
    std::vector<const peer_beat*> list;
    for (const auto& [name, it] : this->peers_) {
        if (!this->is_silent(it, now)) {
            list.push_back(&it.beat);
        }
    }
    return list;
}

std::unordered_map<std::uint64_t, unsigned> peer_table::running(time_point now) const
{
    std::unordered_map<std::uint64_t, unsigned> sum;
    for (const auto* beat : this->alive(now)) {
        for (const auto& [upstream, count] : beat->running) {
            sum[upstream] += count;
        }
    }
    return sum;
}

bool peer_table::is_silent(const peer& it, time_point now) const
{
    return now - it.heard > this->options_.silence;
}

} // namespace medlaryoke::policy
