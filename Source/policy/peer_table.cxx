#include "policy/peer_table.h"

#include <algorithm>

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
    it.heartbeat.leaving.clear();
}

void peer_table::on_tick(time_point now)
{
    if (this->last_tick_ != time_point{} &&
        now - this->last_tick_ > this->options_.local_stall_threshold) {
        for (auto& [name, it] : this->peers_) {
            it.last_heard += now - this->last_tick_;
        }
    }
    if (this->first_tick_ == time_point{}) {
        this->first_tick_ = now;
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

std::vector<const peer_heartbeat*> peer_table::reachable_peers(time_point now) const
{
    const auto alive = this->alive_peers(now);
    auto reachable = alive;
    for (const auto& [name, it] : this->peers_) {
        const bool is_heard =
            this->is_silent(it, now) &&
            std::ranges::any_of(alive, [&it](const peer_heartbeat* peer) {
                return std::ranges::find(peer->live_addresses, it.heartbeat.beat_address) !=
                       peer->live_addresses.end();
            });
        if (is_heard) {
            reachable.push_back(&it.heartbeat);
        }
    }
    return reachable;
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

load_reports peer_table::reports(time_point now) const
{
    load_reports result;
    duration age{};
    for (const auto& [name, it] : this->peers_) {
        if (!this->is_silent(it, now)) {
            age += now - it.last_heard;
            ++result.gateways;
        }
    }
    if (result.gateways > 0) {
        result.mean_time = now - age / static_cast<duration::rep>(result.gateways);
    }
    return result;
}

std::size_t peer_table::sharing_gateways(time_point now) const
{
    const bool has_just_started =
        this->first_tick_ == time_point{} || now - this->first_tick_ < this->options_.erase_timeout;
    return std::max(this->known(), has_just_started ? this->listed_count_ : 0) + 1;
}

bool peer_table::is_silent(const peer_state& it, time_point now) const
{
    return now - it.last_heard > this->options_.silence_timeout;
}

} // namespace medlaryoke::policy
