#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/upstream_entry.h"

namespace medlaryoke::policy {

/// Tracks the upstreams of a list whose entries expire while their store is unavailable. If an
/// entry is removed during an outage of the store or shortly after, its upstream may still be
/// running. It stays in use until the end of the recovery period, in which a running upstream
/// renews its entry. Not thread safe.
class upstream_registry {
public:
    /// @param recovery_period time after an outage in which running upstreams renew their entries
    explicit upstream_registry(duration recovery_period);

    /// Adds or replaces an entry.
    void on_entry(const model::upstream_entry& entry);

    /// Records that an entry was removed from the list.
    /// @param id id of the upstream
    /// @param now the current time
    void on_removed(const std::string& id, time_point now);

    /// Records whether the store is available.
    /// @param available whether the store answers
    /// @param now the current time
    void on_store(bool available, time_point now);

    /// Removes upstreams whose entries were not renewed by the end of the recovery period.
    /// @param now the current time
    /// @return whether any upstream was removed
    bool expire(time_point now);

    /// @return upstreams in order of their ids, including those whose removal is pending
    [[nodiscard]] std::vector<model::upstream_entry> upstreams() const;

private:
    struct member {
        model::upstream_entry entry;
        bool removal_pending = false; ///< removed from the list during an outage or recovery period
    };

    [[nodiscard]] bool is_in_outage_or_recovery(time_point now) const;

    duration recovery_period_;
    bool store_available_ = true;
    std::optional<time_point> outage_end_; ///< of the last outage; empty if there was none
    std::map<std::string, member> members_;
};

} // namespace medlaryoke::policy
