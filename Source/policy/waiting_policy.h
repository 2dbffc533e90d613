#pragma once

#include <random>

#include "base/clock.h"

namespace medlaryoke::policy {

struct waiting_options {
    /// Part of a stream's latency target that it may wait for an upstream; the rest is needed to
    /// read the prompt. A first event after the target earns little, and the slot is better used
    /// for a request that can still be in time.
    double stream_wait = 0.7;
    /// Part of the time left that a request for a plain service may wait: late answers there are
    /// still useful, and are short.
    double plain_wait = 0.6;
    /// Part of the time left within which a refused caller is asked to come back; callers honour
    /// up to a third.
    double return_within = 0.32;
    duration shortest_return = std::chrono::milliseconds(50);
};

/// Decides how long requests wait and when refused callers come back, for loads above what the
/// upstreams can serve. Not thread safe.
class waiting_policy {
public:
    waiting_policy(waiting_options options, std::uint64_t seed) : options_(options), random_(seed)
    {
    }

    /// @param arrived when the request was read
    /// @param target latency objective of its route
    /// @param deadline when its answer is worthless
    /// @param is_stream whether the objective is measured to the first event
    /// @return until when it may wait for an upstream
    [[nodiscard]] time_point wait_until(time_point arrived, duration target, time_point deadline,
                                        bool is_stream) const;

    /// Chooses when a refused caller should come back: at random, so that those refused together do
    /// not return together.
    /// @param left time until the caller's deadline
    [[nodiscard]] duration retry_after(duration left);

private:
    waiting_options options_;
    std::mt19937_64 random_;
};

} // namespace medlaryoke::policy
