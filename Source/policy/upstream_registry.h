#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/upstream_entry.h"

namespace medlaryoke::policy {

/// Which upstreams exist, from a list that loses entries while its store is away. An entry that
/// vanishes around an outage may only have lapsed: its upstream stays in use until the time within
/// which a living one is back in the list. Not thread safe.
class upstream_registry {
public:
    /// @param return_time after the store's return, within which lapsed entries are back
    explicit upstream_registry(duration return_time);

    /// Adds or replaces an entry.
    void on_entry(const model::upstream_entry& entry);

    /// Learns that an entry is gone from the list.
    /// @param id of the upstream
    /// @param now the current time
    void on_removed(const std::string& id, time_point now);

    /// Learns whether the store answers.
    /// @param available whether it does
    /// @param now the current time
    void on_store(bool available, time_point now);

    /// Forgets lapsed entries that did not come back.
    /// @param now the current time
    /// @return whether the list changed
    bool expire(time_point now);

    /// @return the upstreams in order of their ids; those that lapsed are among them
    [[nodiscard]] std::vector<model::upstream_entry> upstreams() const;

private:
    struct member {
        model::upstream_entry entry;
        bool lapsed = false;
    };

    [[nodiscard]] bool recently_away(time_point now) const;

    duration return_time_;
    bool available_ = true;
    std::optional<time_point> returned_; ///< end of the last outage
    std::map<std::string, member> members_;
};

} // namespace medlaryoke::policy
