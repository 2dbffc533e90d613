#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// An entry that callers may use.
struct entry_address {
    std::string address; ///< IP address and port for callers
    std::string data_centre;

    bool operator==(const entry_address&) const = default;
};

/// Last known state of one other entry.
struct peer_view {
    wire::peer_state state;
    duration silent_for{}; ///< time since its last report
    bool failed = false;   ///< silent for longer than the limit
};

/// States of the other entries, from their reports. A peer counts as failed when it has been silent
/// for longer than the limit. Callers are not sent to peers that have failed, report that they are
/// draining, or are leaving according to the instance list. Thread safe.
class peer_directory {
public:
    /// @param instance name of this entry; its own reports are ignored
    /// @param silence_limit time without a report after which a peer counts as failed
    peer_directory(std::string instance, duration silence_limit);

    /// Stores the report of a peer.
    /// @param state state that the peer reports
    /// @param now the current time
    void on_state(const wire::peer_state& state, time_point now);

    /// Replaces the set of leaving instances.
    /// @param instances names of the instances that are leaving according to the instance list
    void set_leaving(std::set<std::string> instances);

    /// @param now the current time
    /// @return addresses of the live peers that are neither draining nor leaving, sorted by
    /// instance name
    [[nodiscard]] std::vector<entry_address> entries(time_point now) const;

    /// @param now the current time
    /// @param own lowest offset in force at this entry and its agents
    /// @return lowest offset in force at this entry and at all live peers
    [[nodiscard]] std::uint64_t lowest_confirmed(time_point now, std::uint64_t own) const;

    /// @param now the current time
    /// @return all peers, sorted by instance name; includes failed peers for a limited time
    [[nodiscard]] std::vector<peer_view> peers(time_point now) const;

private:
    struct peer {
        wire::peer_state state;
        time_point last_report_at{};
    };

    [[nodiscard]] bool is_live(const peer& it, time_point now) const;

    std::string instance_;
    duration silence_limit_;
    mutable std::mutex mutex_;
    std::map<std::string, peer> peers_;
    std::set<std::string> leaving_;
};

} // namespace medlaryoke::controllers
