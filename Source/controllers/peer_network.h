#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/peer_directory.h"
#include "model/wire.pb.h"
#include "transport/runtime.h"

namespace medlaryoke::controllers {

/// Interval at which entries report their state to one another.
constexpr duration peer_report_interval = std::chrono::milliseconds(500);
/// A peer that is silent for longer than three report intervals counts as failed.
constexpr duration peer_silence_limit = std::chrono::milliseconds(1500);

struct peer_network_options {
    std::string address;            ///< IP address and port that other entries connect to
    std::vector<std::string> peers; ///< addresses of other entries from the settings
    unsigned watched_peers = 8;     ///< largest number of entries that this one connects to
};

struct peer_network_events {
    /// Returns the state of this entry.
    std::function<wire::peer_state()> own_state;
    /// Handles a message of a peer that may concern the configuration; returns the answer, if any.
    std::function<std::optional<wire::frame>(const wire::frame&)> on_config_frame;
};

/// Exchanges peer_state and configuration messages with other entries. Connects to a bounded
/// number of them, chosen by rendezvous hashing, and answers those that connect to it. Thread safe.
class peer_network {
public:
    /// @param context runs the channels
    /// @param clock source of the current time; outlives this object
    /// @param options addresses and limits
    /// @param directory receives each reported state; outlives this object
    /// @param events callbacks
    /// @throws error of kind unavailable if the address cannot be bound
    peer_network(transport::runtime& context, const clock_source& clock,
                 peer_network_options options, peer_directory& directory,
                 peer_network_events events);
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;
    ~peer_network();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    /// Replaces the entries from the platform's instance list, which are used in addition to those
    /// in the settings.
    /// @param addresses IP addresses and ports
    void set_listed_peers(const std::vector<std::string>& addresses);

    /// Sends the state of this entry to all connected entries immediately.
    void announce();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
