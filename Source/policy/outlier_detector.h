#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/clock.h"
#include "policy/concurrency_limit.h"

namespace medlaryoke::policy {

struct outlier_options {
    /// Largest fraction of the upstreams that may be ejected at once, rounded down. If more fail,
    /// they have a common cause, and sending all requests to the others would overload those too.
    double max_ejected_fraction = 0.34;
    unsigned consecutive_failures = 5; ///< failures in a row that eject an upstream
    double failure_rate = 0.5;         ///< fraction of failures in a window that ejects an upstream
    unsigned min_results = 20;         ///< results in a window from which the failure rate applies
    duration window = std::chrono::seconds(10);          ///< period in which failures are counted
    duration initial_ejection = std::chrono::seconds(1); ///< length of the first ejection
    /// Repeated ejections double in length up to this, so that a repaired upstream returns well
    /// within 10 s.
    duration max_ejection = std::chrono::seconds(2);
    unsigned required_probe_successes = 2; ///< successful probes that end an ejection
    /// Time after which an upstream returns although no request could probe it, such as one of a
    /// service whose requests must not be repeated. Its next failure ejects it again.
    duration max_wait_for_probe = std::chrono::seconds(5);
};

/// Ejects failing upstreams from the rotation, probes them and returns them once they succeed.
/// Refusals for overload do not count as failures. Not thread safe.
class outlier_detector {
public:
    explicit outlier_detector(outlier_options options = {});

    /// Replaces the set of upstreams; the state of those that stay is kept.
    /// @param upstreams ids of all upstreams of the group
    void set_members(std::span<const std::uint64_t> upstreams);

    /// Records the result of a call or a probe. A call should be reported as succeeded when its
    /// answer starts: waiting for the end of long answers delays the return by several seconds.
    /// @param upstream id of the upstream
    /// @param outcome outcome of the call
    /// @param now the current time
    void on_result(std::uint64_t upstream, call_outcome outcome, time_point now);

    /// @param upstream id of the upstream
    /// @return whether the upstream is ejected and may only get requests allowed by try_probe()
    [[nodiscard]] bool is_ejected(std::uint64_t upstream) const;

    /// Reserves the next probe of an ejected upstream.
    /// @param upstream id of the upstream
    /// @param now the current time
    /// @return whether one request may be sent as a probe; if so, on_result() must be called for it
    bool try_probe(std::uint64_t upstream, time_point now);

    /// Returns the upstreams that have waited for a probe for too long.
    /// @param now the current time
    void on_tick(time_point now);

    /// @return number of ejected upstreams
    [[nodiscard]] std::size_t ejected_count() const;

private:
    struct upstream_state {
        bool ejected = false;
        bool probing = false; ///< a probe is in flight
        time_point next_probe{};
        /// Length of the last ejection; zero after a whole window without ejection.
        duration ejection_length{};
        unsigned probe_successes = 0;
        unsigned consecutive_failures = 0;
        unsigned failures = 0; ///< in this window
        unsigned results = 0;  ///< in this window
        time_point window_start{};
    };

    void on_probe_result(upstream_state& it, bool success, time_point now);
    void eject(upstream_state& it, time_point now) const;
    [[nodiscard]] bool may_eject() const;

    outlier_options options_;
    std::map<std::uint64_t, upstream_state> states_;
};

} // namespace medlaryoke::policy
