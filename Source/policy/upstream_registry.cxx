#include "policy/upstream_registry.h"

#include <algorithm>

namespace medlaryoke::policy {

upstream_registry::upstream_registry(duration return_time) : return_time_(return_time) {}

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
    // A draining upstream leaves the list because it has ended, not because it lapsed.
    if (this->recently_away(now) && !found->second.entry.draining) {
        found->second.lapsed = true;
        return;
    }
    this->members_.erase(found);
}

void upstream_registry::on_store(bool available, time_point now)
{
    if (available && !this->available_) {
        this->returned_ = now;
    }
    this->available_ = available;
}

bool upstream_registry::expire(time_point now)
{
    if (this->recently_away(now)) {
        return false;
    }
    return std::erase_if(this->members_, [](const auto& it) { return it.second.lapsed; }) > 0;
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

bool upstream_registry::recently_away(time_point now) const
{
    return !this->available_ || (this->returned_ && now < *this->returned_ + this->return_time_);
}

} // namespace medlaryoke::policy
