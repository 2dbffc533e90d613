#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/gateway_metrics.h"
#include "policy/peer_table.h"
#include "policy/shared_rate_limits.h"

namespace medlaryoke::gateway {

/// Reads the rate limits that upstreams name in their answers, and keeps them together with the
/// other gateways; see policy::shared_rate_limits. Used on the gateway's thread.
class rate_limits {
public:
    /// @param clock source of the current time
    /// @param metrics receives the counters
    /// @param gateway name of this gateway
    /// @param seed of the random choices
    rate_limits(const clock_source& clock, gateway_metrics& metrics, std::string_view gateway,
                std::uint64_t seed);

    /// @return the limits, for the schedulers of the services
    [[nodiscard]] policy::shared_rate_limits& shared() { return this->shared_; }

    /// @param handler called when an answer has changed a limit, so that peers learn it soon
    void on_changed(std::function<void()> handler) { this->on_changed_ = std::move(handler); }

    /// Takes over what an answer says of the limit of its upstream.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param id id of the upstream
    /// @param status status of the answer
    /// @param text requests a second, as a decimal number; empty if the answer names no limit
    void on_answer(std::uint64_t upstream, const std::string& id, unsigned status,
                   std::string_view text);

    /// Counts an attempt that is sent to an upstream.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param is_repeat whether the request was sent before
    void on_sent(std::uint64_t upstream, bool is_repeat);

    /// Replaces the gateways that share the limits.
    /// @param peers those that can be reached
    /// @param all_count number of gateways, this one and those that cannot be reached included
    /// @param is_serving whether this gateway accepts requests
    void set_gateways(const std::vector<const policy::peer_heartbeat*>& peers,
                      std::size_t all_count, bool is_serving);

    /// Sets what the peers are to know.
    void fill(policy::peer_heartbeat& heartbeat);

    /// Takes over what a peer knows and the permits that it has issued.
    void on_heartbeat(const policy::peer_heartbeat& heartbeat);

    /// Issues permits; to be called every few tens of milliseconds.
    void tick();

private:
    /// Logs a limit that is not kept as it was stated.
    /// @param source upstream or gateway that stated it
    /// @param limit requests a second
    void note_bound(std::string_view source, std::optional<double> limit);
    void note_change(std::uint64_t upstream, std::string_view id, std::optional<double> earlier,
                     std::string_view source);

    const clock_source& clock_;
    gateway_metrics& metrics_;
    policy::shared_rate_limits shared_;
    std::function<void()> on_changed_;
    event_log log_{"limits"};
};

/// Reads a rate limit.
/// @param text decimal number of requests a second
/// @return the limit; empty if the text is no finite number, or a negative one
std::optional<double> parse_rate_limit(std::string_view text);

} // namespace medlaryoke::gateway
