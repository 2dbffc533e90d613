#pragma once

#include <cstddef>

#include "base/clock.h"

namespace medlaryoke::policy {

/// How a call to an upstream ended, as far as the limit is concerned.
enum class call_outcome {
    succeeded,
    refused,   ///< the upstream said that it is overloaded
    failed,    ///< error or timeout; for outlier_detector, and no sign of overload
    abandoned, ///< cancelled by the caller; says nothing about the upstream
};

struct concurrency_limit_options {
    unsigned initial = 16;
    unsigned minimum = 1;
    unsigned maximum = 256;
    /// Latency above the best known one that is put down to noise rather than to queueing.
    double tolerance = 1.5;
};

/// Limits the requests that an agent hands to its upstream at once. Learns the limit from the
/// latency, which grows once the upstream queues, and from refusals. Not thread safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options = {});

    /// Takes a slot.
    /// @return whether there was one; if so, release() must follow
    bool try_acquire();

    /// Returns a slot and learns from the call.
    /// @param latency time to the first token, or of the whole call to a plain service; only
    /// used if the call succeeded
    /// @param outcome how the call ended
    void release(duration latency, call_outcome outcome);

    /// @return the number of requests admitted at once
    [[nodiscard]] unsigned limit() const { return static_cast<unsigned>(this->limit_); }

    /// @return the number of slots taken
    [[nodiscard]] unsigned in_flight() const { return this->in_flight_; }

private:
    void on_refusal();
    void finish_window();
    void probe(double mean);
    void adapt(double mean);

    concurrency_limit_options options_;
    double limit_;
    unsigned in_flight_ = 0;
    unsigned most_in_flight_ = 0; ///< in this window
    std::size_t samples_ = 0;
    double latency_sum_ = 0;  ///< seconds
    double best_latency_ = 0; ///< seconds; zero if unknown
    double limit_before_probe_ = 0;
    double ceiling_ = 0; ///< limit at which the latency last grew; zero if unknown
    unsigned windows_below_ceiling_ = 0;
    unsigned outdated_ = 0; ///< calls from before the last cut, whose latency is not counted
    unsigned windows_;      ///< since the last probe
    bool refused_ = false;  ///< the limit was cut for a refusal in this window
    unsigned refusals_ = 0; ///< since that cut
};

} // namespace medlaryoke::policy
