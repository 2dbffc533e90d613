#include "policy/peer_table.h"

namespace medlaryoke::policy {

peer_table::peer_table(peer_table_options options) : options_(options) {}

bool peer_table::is_new(const peer_heartbeat& heartbeat) const
{
    const auto found = this->peers_.find(heartbeat.instance);
    return found == this->peers_.end() ||
           found->second.heartbeat.incarnation != heartbeat.incarnation ||
           heartbeat.number > found->second.heartbeat.number;
}

bool peer_table::on_heartbeat(const peer_heartbeat& heartbeat, time_point now)
{
    const auto found = this->peers_.find(heartbeat.instance);
    if (found == this->peers_.end()) {
        store(this->peers_[heartbeat.instance], heartbeat, now);
        return true;
    }
    auto& it = found->second;
    if (it.heartbeat.incarnation == heartbeat.incarnation &&
        heartbeat.number <= it.heartbeat.number) {
        return false;
    }
    const bool was_silent = this->is_silent(it, now);
    store(it, heartbeat, now);
    return was_silent;
}

void peer_table::store(peer_state& it, const peer_heartbeat& heartbeat, time_point now)
{
    it = {heartbeat, now};
    // Taken over when it comes.
    it.heartbeat.quarantine.reset();
    it.heartbeat.limits.clear();
    it.heartbeat.permits.clear();
}

void peer_table::on_tick(time_point now)
{
    if (this->last_tick_ != time_point{} &&
        now - this->last_tick_ > this->options_.local_stall_threshold) {
        for (auto& [name, it] : this->peers_) {
            it.last_heard += now - this->last_tick_;
        }
    }
    this->last_tick_ = now;
    std::erase_if(this->peers_, [this, now](const auto& it) {
        return now - it.second.last_heard > this->options_.erase_timeout;
    });
}

std::vector<const peer_heartbeat*> peer_table::alive_peers(time_point now) const
{
    std::vector<const peer_heartbeat*> peers;
    for (const auto& [name, it] : this->peers_) {
        if (!this->is_silent(it, now)) {
            peers.push_back(&it.heartbeat);
        }
    }
    return peers;
}

std::unordered_map<std::uint64_t, unsigned> peer_table::running(time_point now) const
{
    std::unordered_map<std::uint64_t, unsigned> totals;
    for (const auto* heartbeat : this->alive_peers(now)) {
        for (const auto& [upstream, count] : heartbeat->running) {
            totals[upstream] += count;
        }
    }
    return totals;
}

bool peer_table::is_silent(const peer_state& it, time_point now) const
{
    return now - it.last_heard > this->options_.silence_timeout;
}

} // namespace medlaryoke::policy
