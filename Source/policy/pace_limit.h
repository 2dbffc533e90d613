#pragma once

#include <cstddef>

#include "base/clock.h"

namespace medlaryoke::policy {

struct pace_limit_options {
    /// Part of the longest pause allowed that a pass may take on average; the rest covers passes
    /// that read long prompts.
    double target_part = 0.8;
    duration window = std::chrono::milliseconds(250); ///< over which pauses are averaged
    double smoothing = 0.4;                           ///< weight of the newest window
    double least = 2;                                 ///< requests an engine runs in any case
};

/// Learns how many requests the engines of a lock-step group may run at once, for loads and expert
/// skews under which a full batch makes every stream late. All ranks wait for the slowest, so a
/// pass takes a fixed time and a part for each request that runs; that part grows with the skew of
/// the experts and is measured from the pauses between events. Not thread safe.
class pace_limit {
public:
    explicit pace_limit(pace_limit_options options = {});

    /// Sets what is known of the engines.
    /// @param empty_pass time of a pass that writes for nobody; zero if unknown
    /// @param longest_gap longest pause between events that is on time; zero: no limit
    void configure(duration empty_pass, duration longest_gap);

    /// Learns from a pause between two events of a stream.
    /// @param gap the pause
    /// @param running requests that an engine runs, on average over the group
    /// @param now the current time
    void on_gap(duration gap, double running, time_point now);

    /// @return requests that an engine may run, on average over the group; infinity if unlimited
    [[nodiscard]] double limit() const { return this->limit_; }

private:
    void end_window();

    pace_limit_options options_;
    duration empty_pass_{};
    duration longest_gap_{};
    double limit_;
    double ms_per_request_ = 0; ///< smoothed; 0: unknown
    time_point window_start_{};
    double gap_sum_ms_ = 0;
    double running_sum_ = 0;
    std::size_t samples_ = 0;
};

} // namespace medlaryoke::policy
