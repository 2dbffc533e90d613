#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/gateway_metrics.h"
#include "policy/peer_table.h"
#include "policy/upstream_notices.h"

namespace medlaryoke::gateway {

/// Reads what upstreams say of themselves in their answers, other than rate limits, and tells the
/// other gateways; see policy::upstream_notices. Used on the gateway's thread.
class notice_exchange {
public:
    /// @param clock source of the current time
    /// @param metrics receives the counters
    notice_exchange(const clock_source& clock, gateway_metrics& metrics)
        : clock_(clock), metrics_(metrics)
    {
    }

    /// @return the notices, for the schedulers of the services
    [[nodiscard]] policy::upstream_notices& notices() { return this->notices_; }

    /// @param handler called when an answer has shown that an upstream leaves, so that peers learn
    /// it soon
    void on_changed(std::function<void()> handler) { this->on_changed_ = std::move(handler); }

    /// Takes over that an answer says that its upstream leaves.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param id id of the upstream
    void on_leaving_answer(std::uint64_t upstream, const std::string& id);

    /// Takes over that an answer turned a request away and names a time.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param id id of the upstream
    /// @param retry_after value of the header; one that cannot be read is logged and ignored
    void on_refusing_answer(std::uint64_t upstream, const std::string& id,
                            std::string_view retry_after);

    /// Sets what the peers are to know.
    void fill(policy::peer_heartbeat& heartbeat) const;

    /// Takes over what a peer knows.
    void on_heartbeat(const policy::peer_heartbeat& heartbeat);

    /// Forgets what has ended.
    void tick() { this->notices_.on_tick(this->clock_.now()); }

private:
    void note_leaving(std::uint64_t upstream, std::string_view id, std::string_view source);

    const clock_source& clock_;
    gateway_metrics& metrics_;
    policy::upstream_notices notices_;
    std::function<void()> on_changed_;
    event_log log_{"notices"};
};

/// Reads the time in a Retry-After header.
/// @param text seconds as a decimal number; a date is not supported
/// @return the time; empty if the text is no finite number, or a negative one
std::optional<duration> parse_retry_after(std::string_view text);

} // namespace medlaryoke::gateway
