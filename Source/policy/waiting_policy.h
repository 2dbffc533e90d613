#pragma once

#include <random>

#include "base/clock.h"

namespace medlaryoke::policy {

struct waiting_options {
    /// Fraction of its latency target that a stream may wait for an upstream; the rest is needed
    /// for the prefill. A first event after the target is of little value, and the slot is better
    /// used for a request that can still be on time.
    double stream_wait_fraction = 0.7;
    /// Fraction of the time to its deadline that a request to a plain service may wait. Such
    /// answers take little time and are still useful after the latency target.
    double plain_wait_fraction = 0.6;
    /// Upper bound of the retry delay of a refused caller, as a fraction of the time to its
    /// deadline. Callers honour delays of up to a third of that time.
    double retry_after_fraction = 0.32;
    duration min_retry_after = std::chrono::milliseconds(50); ///< lower bound of the retry delay
};

/// Decides how long requests wait for an upstream and when refused callers retry, while the load
/// exceeds the capacity of the upstreams. Not thread safe.
class waiting_policy {
public:
    waiting_policy(waiting_options options, std::uint64_t seed) : options_(options), random_(seed)
    {
    }

    /// @param arrived time at which the request was read
    /// @param target latency target of its route
    /// @param deadline time after which its answer is of no use
    /// @param is_stream whether the target applies to the first event rather than the whole answer
    /// @return time until which the request may wait for an upstream
    [[nodiscard]] time_point wait_until(time_point arrived, duration target, time_point deadline,
                                        bool is_stream) const;

    /// Chooses a random retry delay, so that callers refused together do not retry together.
    /// @param remaining time until the caller's deadline
    /// @return time after which the caller should retry
    [[nodiscard]] duration retry_after(duration remaining);

private:
    waiting_options options_;
    std::mt19937_64 random_;
};

} // namespace medlaryoke::policy
