#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/upstream_entry.h"
#include "policy/keyed_topic.h"

namespace medlaryoke::policy {

/// Timeouts of an upstream_registry.
struct registry_options {
    /// Time after an outage in which running upstreams renew their entries.
    duration recovery_period = std::chrono::milliseconds(2300);
    /// Time after which the store removes the entry of an upstream that does not renew it.
    duration expiry_time = std::chrono::milliseconds(3600);
    /// Time for which upstreams that left are remembered; longer than a copy from which the store
    /// is restored is old.
    duration memory_of_departed = std::chrono::minutes(2);
};

/// Tracks the upstreams of a list whose entries expire while their store is unavailable. If an
/// entry is removed during an outage of the store or shortly after, its upstream may still be
/// running. It stays in use until the end of the recovery period, in which a running upstream
/// renews its entry.
///
/// A store that is restored from an older copy lists upstreams as they were. Draining is final for
/// an incarnation, so the copy does not undo it. An incarnation that had left is used again only if
/// it writes its entry again or the store still lists it when it would have removed an entry that
/// is not renewed. Not thread safe.
class upstream_registry {
public:
    explicit upstream_registry(registry_options options = {});

    /// Adds or replaces an entry.
    /// @param entry the entry
    /// @param origin whether the entry may be older than what is known
    /// @param now the current time
    void on_entry(const model::upstream_entry& entry, change_origin origin, time_point now);

    /// Records that an entry was removed from the list.
    /// @param id id of the upstream
    /// @param now the current time
    void on_removed(const std::string& id, time_point now);

    /// Records whether the store is available.
    /// @param available whether the store answers
    /// @param now the current time
    void on_store(bool available, time_point now);

    /// Records that the last outage was one of the own path to the store: entries that were removed
    /// around it have left.
    void on_own_outage() { this->outage_end_.reset(); }

    /// @param now the current time
    /// @return whether the store answers again and entries are kept that were removed around its
    /// last outage
    [[nodiscard]] bool is_recovering(time_point now) const
    {
        return this->store_available_ && this->is_in_outage_or_recovery(now) && !this->restored_;
    }

    /// Records that the store was restored from an older copy, which begins a recovery period.
    /// @param now the current time
    void on_restored(time_point now)
    {
        this->outage_end_ = now;
        this->restored_ = true;
    }

    /// Removes upstreams whose entries were not renewed by the end of the recovery period, and adds
    /// those that a restored store still lists.
    /// @param now the current time
    /// @return whether the upstreams in use changed
    bool expire(time_point now);

    /// @return upstreams in order of their ids, including those whose removal is pending and
    /// excluding those that may have left before the store was restored
    [[nodiscard]] std::vector<model::upstream_entry> upstreams() const;

private:
    struct member {
        model::upstream_entry entry;
        bool removal_pending = false; ///< removed from the list during an outage or recovery period
        /// When the upstream is used, if a restored store lists it although it had left.
        std::optional<time_point> unused_until;
    };

    /// An upstream that left the list.
    struct departure {
        std::int64_t started_at = 0;
        time_point at{};
    };

    void on_copied_entry(const model::upstream_entry& entry, time_point now);
    void erase(const std::string& id, time_point now);

    [[nodiscard]] bool is_in_outage_or_recovery(time_point now) const;

    registry_options options_;
    bool store_available_ = true;
    bool restored_ = false;                ///< the recovery period follows a restore
    std::optional<time_point> outage_end_; ///< of the last outage; empty if there was none
    std::map<std::string, member> members_;
    std::map<std::string, departure> departed_; ///< by id
};

} // namespace medlaryoke::policy
