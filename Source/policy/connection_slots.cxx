#include "policy/connection_slots.h"

#include <algorithm>
#include <tuple>

namespace medlaryoke::policy {

std::optional<std::uint64_t> connection_slots::on_open(std::uint64_t connection, time_point now)
{
    if (this->connections_.size() < this->limit_) {
        this->connections_[connection] = {connection_use::idle, now};
        return std::nullopt;
    }
    const auto rank = [now](const auto& it) {
        return std::tuple(it.second.use, now - it.second.since);
    };
    const auto found = std::ranges::max_element(this->connections_, {}, rank);
    if (found == this->connections_.end() || found->second.use == connection_use::answering) {
        return connection;
    }
    const auto closed = found->first;
    this->connections_.erase(found);
    this->connections_[connection] = {connection_use::idle, now};
    return closed;
}

void connection_slots::on_use(std::uint64_t connection, connection_use use, time_point now)
{
    const auto found = this->connections_.find(connection);
    if (found != this->connections_.end() && found->second.use != use) {
        found->second = {use, now};
    }
}

} // namespace medlaryoke::policy
