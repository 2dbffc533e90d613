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
    /// Largest part of the upstreams that is ejected at once, rounded down. If more fail, the
    /// cause is common to them and sending all work to the rest would bring those down too.
    double max_ejected = 0.34;
    unsigned consecutive_failures = 5;
    double failure_rate = 0.5; ///< within a window
    unsigned min_samples = 20; ///< results in a window before the rate counts
    duration window = std::chrono::seconds(10);
    duration first_ejection = std::chrono::seconds(1);
    /// Ejections double up to this, so that a repaired upstream is back well within 10 s.
    duration longest_ejection = std::chrono::seconds(2);
    unsigned probes = 2; ///< successful requests, one at a time, that end an ejection
};

/// Takes upstreams that fail out of rotation, probes them and brings them back. Refusals for
/// overload are no failures. Not thread safe.
class outlier_detector {
public:
    explicit outlier_detector(outlier_options options = {});

    /// Sets the upstreams in question; the state of those that stay is kept.
    /// @param upstreams ids of all upstreams of the group
    void set_members(std::span<const std::uint64_t> upstreams);

    /// Learns from a call, also from a probe. A call should be reported as succeeded when its
    /// answer starts: waiting for the end of long answers delays the return by several seconds.
    /// @param upstream id of the upstream
    /// @param outcome how the call ended
    /// @param now the current time
    void on_result(std::uint64_t upstream, call_outcome outcome, time_point now);

    /// @param upstream id of the upstream
    /// @return whether it is out of rotation; only try_probe() may then send it a request
    [[nodiscard]] bool is_ejected(std::uint64_t upstream) const;

    /// Reserves the next probe of an ejected upstream; on_result() must follow.
    /// @param upstream id of the upstream
    /// @param now the current time
    /// @return whether one request may be sent to it
    bool try_probe(std::uint64_t upstream, time_point now);

    /// @return number of ejected upstreams
    [[nodiscard]] std::size_t ejected_count() const;

private:
    struct member {
        bool ejected = false;
        bool probing = false; ///< a probe is under way
        time_point next_probe{};
        duration ejection{}; ///< length of the last one; zero after a whole window without ejection
        unsigned probe_successes = 0;
        unsigned consecutive = 0;
        unsigned failures = 0; ///< in this window
        unsigned results = 0;  ///< in this window
        time_point window_start{};
    };

    void on_probe_result(member& it, bool success, time_point now);
    void eject(member& it, time_point now) const;
    [[nodiscard]] bool may_eject() const;

    outlier_options options_;
    std::map<std::uint64_t, member> members_;
};

} // namespace medlaryoke::policy
