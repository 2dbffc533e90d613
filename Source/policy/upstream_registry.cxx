#include "policy/upstream_registry.h"

namespace medlaryoke::policy {

upstream_registry::upstream_registry(registry_options options) : options_(options) {}

void upstream_registry::on_entry(const model::upstream_entry& entry, change_origin origin,
                                 time_point now)
{
    if (origin == change_origin::restored_copy) {
        this->on_copied_entry(entry, now);
        return;
    }
    this->members_[entry.id] = {entry, false, std::nullopt};
    this->departed_.erase(entry.id);
}

void upstream_registry::on_copied_entry(const model::upstream_entry& entry, time_point now)
{
    const auto known = this->members_.find(entry.id);
    if (known == this->members_.end()) {
        const auto departed = this->departed_.find(entry.id);
        const bool has_left =
            departed != this->departed_.end() && entry.started_at <= departed->second.started_at;
        const auto unused_until =
            has_left
                ? std::optional(now + this->options_.recovery_period + this->options_.expiry_time)
                : std::nullopt;
        this->members_[entry.id] = {entry, false, unused_until};
        return;
    }
    auto& it = known->second;
    if (entry.started_at < it.entry.started_at) {
        it.removal_pending = true; // the newer incarnation writes its entry again if it runs
        return;
    }
    const bool was_draining = it.entry.draining && entry.started_at == it.entry.started_at;
    it.entry = entry;
    it.entry.draining = entry.draining || was_draining;
    it.removal_pending = false;
}

void upstream_registry::on_removed(const std::string& id, time_point now)
{
    const auto found = this->members_.find(id);
    if (found == this->members_.end()) {
        return;
    }
    // A draining upstream left the list because it stopped, not because its entry expired.
    if (this->is_in_outage_or_recovery(now) && !found->second.entry.draining &&
        !found->second.unused_until) {
        found->second.removal_pending = true;
        return;
    }
    this->erase(id, now);
}

void upstream_registry::erase(const std::string& id, time_point now)
{
    const auto found = this->members_.find(id);
    this->departed_[id] = {found->second.entry.started_at, now};
    this->members_.erase(found);
}

void upstream_registry::on_store(bool available, time_point now)
{
    if (available && !this->store_available_) {
        this->outage_end_ = now;
        this->restored_ = false;
    }
    this->store_available_ = available;
}

bool upstream_registry::expire(time_point now)
{
    if (this->is_in_outage_or_recovery(now)) {
        return false;
    }
    std::erase_if(this->departed_, [this, now](const auto& it) {
        return now - it.second.at > this->options_.memory_of_departed;
    });
    bool has_changed = false;
    std::vector<std::string> expired;
    for (auto& [id, it] : this->members_) {
        if (it.removal_pending) {
            expired.push_back(id);
        }
        else if (it.unused_until && now >= *it.unused_until) {
            it.unused_until.reset();
            has_changed = true;
        }
    }
    for (const auto& id : expired) {
        this->erase(id, now);
    }
    return has_changed || !expired.empty();
}

std::vector<model::upstream_entry> upstream_registry::upstreams() const
{
    std::vector<model::upstream_entry> list;
    list.reserve(this->members_.size());
    for (const auto& [id, it] : this->members_) {
        if (!it.unused_until) {
            list.push_back(it.entry);
        }
    }
    return list;
}

bool upstream_registry::is_in_outage_or_recovery(time_point now) const
{
    return !this->store_available_ ||
           (this->outage_end_ && now < *this->outage_end_ + this->options_.recovery_period);
}

} // namespace medlaryoke::policy
