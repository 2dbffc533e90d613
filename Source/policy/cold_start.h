#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"

namespace medlaryoke::policy {

/// What the upstreams of a service bear while they are cold.
struct cold_start_limits {
    double per_second = 0; ///< requests a second from all gateways; 0: no limit
    duration cold_time{};  ///< how long an upstream is cold after its start
    double overage = 1;    ///< multiple of per_second that is allowed in a single second
    double slack = 0;      ///< requests allowed beyond that in a single second
};

/// Limits the requests to upstreams that are cold, which would crash at a higher rate. Each gateway
/// sends its share without asking the others, so the limit holds also while gateways do not hear
/// each other: in any second, a gateway sends at most one request and the accrued ones. Not thread
/// safe.
///
/// Answers the load pattern in which upstreams that come back idle attract the requests of all
/// gateways at once.
class cold_start {
public:
    /// @param gateway hash of the name of this gateway
    explicit cold_start(std::uint64_t gateway) : gateway_(gateway) {}

    /// Replaces the limits.
    void configure(const cold_start_limits& limits) { this->limits_ = limits; }

    /// @param count number of gateways that may send, this one and silent ones included
    void set_gateways(std::size_t count) { this->gateway_count_ = count; }

    /// @return whether cold upstreams are limited
    [[nodiscard]] bool is_limited() const { return this->limits_.per_second > 0; }

    /// @return how long an upstream is cold after its start
    [[nodiscard]] duration cold_time() const { return this->limits_.cold_time; }

    /// Records that an upstream is cold.
    /// @param upstream hash of its id and start time
    /// @param until when it is warm; an earlier time than the known one is ignored
    void on_cold(std::uint64_t upstream, time_point until);

    /// @return whether this gateway may send a request to an upstream now
    [[nodiscard]] bool permits(std::uint64_t upstream, time_point now) const;

    /// @return whether an upstream is cold
    [[nodiscard]] bool is_cold(std::uint64_t upstream, time_point now) const;

    /// Counts a request that is sent.
    void on_sent(std::uint64_t upstream, time_point now);

    /// Forgets upstreams that are warm.
    void on_tick(time_point now);

private:
    struct state {
        time_point until{};
        std::optional<time_point> next_request; ///< empty before the first one
    };

    /// @return time between two requests of this gateway to a cold upstream; empty if it sends none
    [[nodiscard]] std::optional<duration> interval(std::uint64_t upstream) const;

    std::uint64_t gateway_;
    cold_start_limits limits_;
    std::size_t gateway_count_ = 1;
    std::unordered_map<std::uint64_t, state> cold_;
};

} // namespace medlaryoke::policy
