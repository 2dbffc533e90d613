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
    /// Time between two beats while few gateways run. Loads that are older make gateways choose
    /// the same upstream.
    duration interval = std::chrono::milliseconds(100);
    /// More time for each peer, so that the beats' cost a gateway stays the same as the fleet
    /// grows.
    duration interval_per_peer = std::chrono::milliseconds(15);
    duration longest_interval = std::chrono::milliseconds(300); ///< below a third of the silence
};

/// Beats between the gateways over UDP: who serves, what each runs, how far each has read. Used on
/// the gateway's thread.
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
public:
    /// Fills in the current state of this gateway.
    using self_source = std::function<void(policy::peer_beat&)>;

    /// @param context runs the beats
    /// @param clock the time
    /// @param own names and addresses of this gateway; incarnation drawn at its start
    /// @param options intervals
    /// @param fill_self called for each beat
    /// @param on_change called after each beat received
    peer_exchange(transport::runtime& context, const clock_source& clock, policy::peer_beat own,
                  peer_options options, self_source fill_self, std::function<void()> on_change);

    /// Binds the beat address and starts.
    /// @throws error of kind unavailable if the address cannot be bound
    void start();

    /// Adds addresses that may be gateways' beat addresses.
    void add_addresses(const std::vector<std::string>& addresses);

    /// Tells the peers about a change at once.
    void beat_now();

    [[nodiscard]] const policy::peer_table& table() const { return this->table_; }

private:
    void received(std::string_view data);
    void beat();
    void schedule();

    transport::runtime& context_;
    const clock_source& clock_;
    policy::peer_beat own_;
    peer_options options_;
    self_source fill_self_;
    std::function<void()> on_change_;
    policy::peer_table table_;
    std::set<std::string> addresses_; ///< candidates, without the own one
    std::unique_ptr<transport::datagram_socket> socket_;
    event_log log_{"peers"};
};

} // namespace medlaryoke::gateway
