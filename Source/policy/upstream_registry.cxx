#include "policy/upstream_registry.h"

#include <algorithm>

namespace medlaryoke::policy {

upstream_registry::upstream_registry(duration recovery_period) : recovery_period_(recovery_period)
{
}

void upstream_registry::on_entry(const model::upstream_entry& entry)
{
    this->members_[entry.id] = {entry, false};
}

void upstream_registry::on_removed(const std::string& id, time_point now)
{
    const auto found = this->members_.find(id);
    if (found == this->members_.end()) {
        return;
    }
    // A draining upstream left the list because it stopped, not because its entry expired.
    if (this->is_in_outage_or_recovery(now) && !found->second.entry.draining) {
        found->second.removal_pending = true;
        return;
    }
    this->members_.erase(found);
}

void upstream_registry::on_store(bool available, time_point now)
{
    if (available && !this->store_available_) {
        this->outage_end_ = now;
    }
    this->store_available_ = available;
}

bool upstream_registry::expire(time_point now)
{
    if (this->is_in_outage_or_recovery(now)) {
        return false;
    }
    return std::erase_if(this->members_, [](const auto& it) { return it.second.removal_pending; }) >
           0;
}

std::vector<model::upstream_entry> upstream_registry::upstreams() const
{
    std::vector<model::upstream_entry> list;
    list.reserve(this->members_.size());
    for (const auto& [id, it] : this->members_) {
        list.push_back(it.entry);
    }
    return list;
}

bool upstream_registry::is_in_outage_or_recovery(time_point now) const
{
    return !this->store_available_ ||
           (this->outage_end_ && now < *this->outage_end_ + this->recovery_period_);
}

} // namespace medlaryoke::policy
