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

/// What this entry knows of one other entry.
struct peer_view {
    wire::peer_state state;
    duration silent_for{}; ///< since its last message
    bool failed = false;   ///< silent for too long
};

/// The other entries as they report themselves. A peer counts as failed when it has been silent
/// for longer than the limit, and as draining by its own word or by the instance list. Thread safe.
class peer_directory {
public:
    /// @param instance name of this entry; its own reports are ignored
    /// @param silence_limit after which a silent peer counts as failed
    peer_directory(std::string instance, duration silence_limit);

    /// @param state what a peer says of itself
    /// @param now the current time
    void on_state(const wire::peer_state& state, time_point now);

    /// @param instances names of instances that leave according to the instance list
    void set_leaving(std::set<std::string> instances);

    /// @param now the current time
    /// @return addresses of the live peers that are not draining, in order of their names
    [[nodiscard]] std::vector<entry_address> entries(time_point now) const;

    /// @param now the current time
    /// @param own lowest offset in force at this entry and its agents
    /// @return lowest offset in force at this entry and at all live peers
    [[nodiscard]] std::uint64_t lowest_confirmed(time_point now, std::uint64_t own) const;

    /// @param now the current time
    /// @return all peers heard of lately, in order of their names
    [[nodiscard]] std::vector<peer_view> peers(time_point now) const;

private:
    struct peer {
        wire::peer_state state;
        time_point heard{};
    };

    [[nodiscard]] bool is_live(const peer& it, time_point now) const;

    std::string instance_;
    duration silence_limit_;
    mutable std::mutex mutex_;
    std::map<std::string, peer> peers_;
    std::set<std::string> leaving_;
};

} // namespace medlaryoke::controllers
