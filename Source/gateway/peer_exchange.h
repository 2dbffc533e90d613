#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "policy/peer_table.h"
#include "transport/datagram_socket.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

struct peer_options {
    /// Time between two heartbeats while few gateways run. With older load figures, several
    /// gateways choose the same upstream.
    duration base_interval = std::chrono::milliseconds(100);
    /// Added for each peer, so that the cost of heartbeats per gateway does not grow with the
    /// number of gateways.
    duration interval_per_peer = std::chrono::milliseconds(15);
    /// Less than a third of the silence after which peer_table considers a peer silent.
    duration max_interval = std::chrono::milliseconds(300);
    /// See transport::datagram_socket.
    duration bind_retry_interval{};
};

/// Exchanges heartbeats with the other gateways over UDP. A heartbeat states whether a gateway
/// serves, its running requests, its configuration version and its position in the list of
/// upstreams. Used on the gateway's thread.
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
public:
    /// Sets the fields of a heartbeat that state the current condition of this gateway.
    using state_source = std::function<void(policy::peer_heartbeat&)>;

    /// Takes a heartbeat and whether its peer was unknown or silent before.
    using heartbeat_handler = std::function<void(const policy::peer_heartbeat&, bool was_silent)>;

    /// @param context runs the timer and the socket
    /// @param clock source of the current time
    /// @param own_heartbeat holds the name, addresses and incarnation of this gateway
    /// @param options heartbeat intervals
    /// @param fill_state called before each heartbeat is sent
    /// @param on_heartbeat called after each heartbeat received
    peer_exchange(transport::runtime& context, const clock_source& clock,
                  policy::peer_heartbeat own_heartbeat, peer_options options,
                  state_source fill_state, heartbeat_handler on_heartbeat);

    /// Binds the heartbeat address and starts to send.
    /// @throws error if the address is malformed, or cannot be bound and is not tried again
    void start();

    /// Adds addresses to which heartbeats are sent, whether a gateway runs there or not.
    void add_addresses(const std::vector<std::string>& addresses);

    /// Sends an extra heartbeat, so that peers learn of a change immediately.
    void send_now();

    /// @return whether heartbeats are sent and received
    [[nodiscard]] bool is_bound() const { return this->socket_ && this->socket_->is_bound(); }

    [[nodiscard]] const policy::peer_table& table() const { return this->table_; }

private:
    void on_datagram(std::string_view data);
    void send_heartbeat();
    void schedule_heartbeat();

    transport::runtime& context_;
    const clock_source& clock_;
    policy::peer_heartbeat own_heartbeat_;
    peer_options options_;
    state_source fill_state_;
    heartbeat_handler on_heartbeat_;
    policy::peer_table table_;
    std::set<std::string> addresses_; ///< destinations, without the address of this gateway
    std::unique_ptr<transport::datagram_socket> socket_;
    event_log log_{"peers"};
};

} // namespace medlaryoke::gateway
