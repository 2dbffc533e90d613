#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Timeouts of a config_confirmation.
struct confirmation_options {
    /// Time from the start in which peers are heard that run; exceeds the longest interval of their
    /// heartbeats.
    duration peer_wait = std::chrono::milliseconds(400);
    /// Time from the start in which a newer configuration of a peer is fetched.
    duration fetch_wait = std::chrono::milliseconds(1000);
};

/// What a process that starts knows of the configuration.
struct known_versions {
    std::uint64_t own = 0;          ///< version that it read from the store; 0 if there is none
    std::uint64_t newest_heard = 0; ///< newest version of the peers that it hears
    std::size_t heard_peers = 0;
    std::size_t listed_peers = 0; ///< known addresses, whether a peer runs there or not
};

/// Decides when a process that starts may take the configuration in the store for the newest one. A
/// store that was restored from an older copy returns an older version until the operator writes
/// again; peers that ran before still have the newer one. Not thread safe.
class config_confirmation {
public:
    /// @param started_at when the process began to send heartbeats
    /// @param options timeouts
    explicit config_confirmation(time_point started_at, confirmation_options options = {})
        : started_at_(started_at), options_(options)
    {
    }

    /// @param known what is known now
    /// @param now the current time
    /// @return whether the configuration is confirmed; once true, it stays so
    [[nodiscard]] bool is_confirmed(const known_versions& known, time_point now);

private:
    time_point started_at_;
    confirmation_options options_;
    bool is_confirmed_ = false;
};

} // namespace medlaryoke::policy
