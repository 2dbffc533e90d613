#include "controllers/peer_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlaryoke::controllers {

namespace {

/// Time for which failed peers stay in the status.
constexpr duration failed_peer_retention = std::chrono::minutes(10);

} // namespace

peer_directory::peer_directory(std::string instance, duration silence_limit)
    : instance_(std::move(instance)), silence_limit_(silence_limit)
{
}

void peer_directory::on_state(const wire::peer_state& state, time_point now)
{
    if (state.instance().empty() || state.instance() == this->instance_) {
        return;
    }
    const std::scoped_lock lock(this->mutex_);
    std::erase_if(this->peers_, [now](const auto& entry) {
        return now - entry.second.last_report_at > failed_peer_retention;
    });
    this->peers_[state.instance()] = {state, now};
}

void peer_directory::set_leaving(std::set<std::string> instances)
{
    const std::scoped_lock lock(this->mutex_);
    this->leaving_ = std::move(instances);
}

std::vector<entry_address> peer_directory::entries(time_point now) const
{
    const std::scoped_lock lock(this->mutex_);
    std::vector<entry_address> result;
    for (const auto& [name, it] : this->peers_) {
        if (this->is_live(it, now) && !it.state.draining() && !this->leaving_.contains(name)) {
            result.push_back({it.state.caller_address(), it.state.data_centre()});
        }
    }
    return result;
}

std::uint64_t peer_directory::lowest_confirmed(time_point now, std::uint64_t own) const
{
    const std::scoped_lock lock(this->mutex_);
    for (const auto& [name, it] : this->peers_) {
        if (this->is_live(it, now)) {
            own = std::min(own, it.state.confirmed_offset());
        }
    }
    return own;
}

std::vector<peer_view> peer_directory::peers(time_point now) const
{
    const std::scoped_lock lock(this->mutex_);
    std::vector<peer_view> result;
    result.reserve(this->peers_.size());
    for (const auto& [name, it] : this->peers_) {
        result.push_back({it.state, now - it.last_report_at, !this->is_live(it, now)});
    }
    return result;
}

bool peer_directory::is_live(const peer& it, time_point now) const
{
    return now - it.last_report_at <= this->silence_limit_;
}

} // namespace medlaryoke::controllers
