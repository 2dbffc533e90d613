#pragma once

#include <cstddef>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Outcome of a call, as far as it concerns the limit and the health of the upstream.
enum class call_outcome {
    succeeded,
    refused,   ///< the upstream refused the call as overloaded
    failed,    ///< error or timeout; a fault of the upstream, but no sign of overload
    abandoned, ///< cancelled by the caller; says nothing about the upstream
};

struct concurrency_limit_options {
    unsigned initial = 16;  ///< limit at the start, in calls
    unsigned minimum = 1;   ///< lower bound of the limit, in calls
    unsigned maximum = 256; ///< upper bound of the limit, in calls
    /// Multiple of the minimum latency up to which a higher latency counts as noise, not as
    /// queueing.
    double latency_tolerance = 1.5;
};

/// Limits the concurrent calls of an agent to its upstream. Adjusts the limit to the latency, which
/// increases once calls queue at the upstream, and to refusals. Not thread safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options = {});

    /// Acquires a slot.
    /// @return whether a slot was free; if so, release() must be called later
    bool try_acquire();

    /// Releases a slot and adjusts the limit to the result of the call.
    /// @param latency time to the first token, or of the whole call to a plain service; only
    /// used if the call succeeded
    /// @param outcome outcome of the call
    void release(duration latency, call_outcome outcome);

    /// @return maximum number of concurrent calls
    [[nodiscard]] unsigned limit() const { return static_cast<unsigned>(this->limit_); }

    /// @return number of slots in use
    [[nodiscard]] unsigned in_flight() const { return this->in_flight_; }

private:
    void decrease_for_refusal();
    void finish_window();
    void probe(double mean_latency_s);
    void adjust_limit(double mean_latency_s);

    concurrency_limit_options options_;
    double limit_;
    unsigned in_flight_ = 0;
    unsigned peak_in_flight_ = 0; ///< in this window
    std::size_t samples_ = 0;     ///< successful calls in this window
    double latency_sum_s_ = 0;    ///< of these calls
    /// Mean latency of the fastest window since the last probe; 0 if unknown.
    double min_latency_s_ = 0;
    double limit_before_probe_ = 0;
    double ceiling_ = 0; ///< limit at which the latency last increased; 0 if unknown
    unsigned windows_below_ceiling_ = 0; ///< since the latency last increased
    /// Running calls admitted before the last decrease, whose latency is ignored.
    unsigned stale_calls_ = 0;
    unsigned windows_since_probe_;
    bool limit_cut_ = false;          ///< the limit was decreased for a refusal in this window
    unsigned refusals_since_cut_ = 0; ///< refusals in this window since that decrease
};

} // namespace medlaryoke::policy
