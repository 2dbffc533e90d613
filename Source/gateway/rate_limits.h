#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/gateway_metrics.h"
#include "policy/rate_limit_table.h"

namespace medlaryoke::gateway {

/// Reads the rate limits that upstreams name in their answers. Used on the gateway's thread.
class rate_limits {
public:
    /// @param clock source of the current time
    /// @param metrics receives the counters
    rate_limits(const clock_source& clock, gateway_metrics& metrics)
        : clock_(clock), metrics_(metrics)
    {
    }

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

private:
    const clock_source& clock_;
    gateway_metrics& metrics_;
    policy::rate_limit_table table_;
    event_log log_{"limits"};
};

/// Reads a rate limit.
/// @param text decimal number of requests a second
/// @return the limit; empty if the text is no finite number, or a negative one
std::optional<double> parse_rate_limit(std::string_view text);

} // namespace medlaryoke::gateway
