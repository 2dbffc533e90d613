#pragma once

#include <cstddef>
#include <vector>

#include "base/clock.h"
#include "model/route_config.h"

namespace medlaryoke::policy {

struct pace_limit_options {
    /// Part of the longest pause allowed that a pass may take by prediction; the rest covers the
    /// way to the caller and what the prediction leaves out.
    double target_part = 0.97;
    /// Prompt that the rank with most to read reads in a pass, in usual prompts: for a group of 8
    /// ranks, and more for each doubling, as the longest of more prompts decides.
    double read_part = 1;
    double read_part_per_doubling = 0.35;
    /// What the shorter passes read, in parts of that.
    double short_read = 0.6;
    duration window = std::chrono::milliseconds(200); ///< over which pauses are looked at
    /// Weight of the newest window. A shift of popularity makes passes longer at once, so a rise is
    /// believed sooner than a fall.
    double rise = 0.7;
    double fall = 0.2;
    /// Part of the time left in a pass that writing may take while experts are even: popularity
    /// shifts at once, to several times the work, and the requests that run then stay.
    double even_part = 0.23;
    double least = 2;     ///< requests an engine runs in any case
    double most_work = 5; ///< an estimate above this comes from a stall, not from skew
};

/// Predicts the passes of a lock-step group and limits what its engines run and read at once, for
/// loads and expert skews under which one long pass makes every running stream late. All ranks wait
/// for the slowest: a pass takes a fixed time, a part for each request that writes, and the time to
/// read the prompts of the rank that reads most; the last two grow with the skew of the experts.
/// The skew is learnt from the shorter pauses between events. Not thread safe.
class pace_limit {
public:
    explicit pace_limit(pace_limit_options options = {});

    /// Sets what is known of the engines.
    /// @param pace times of the engines; without steps or times nothing is limited
    /// @param longest_gap longest pause between events that is on time; zero: no limit
    void configure(const model::engine_pace& pace, duration longest_gap);

    /// Learns from a pause between two events of a stream.
    /// @param gap the pause
    /// @param running requests that an engine runs, on average over the group
    /// @param ranks number of engines
    /// @param now the current time
    void on_gap(duration gap, double running, std::size_t ranks, time_point now);

    /// @return requests that an engine may run, on average over the group; infinity if unlimited
    [[nodiscard]] double run_limit() const;

    /// @param running requests that an engine runs, on average over the group
    /// @return prompt tokens that one engine may read in a pass; infinity if unlimited
    [[nodiscard]] double read_limit(double running) const;

    /// @return work of a pass over that of a group whose experts are spread evenly
    [[nodiscard]] double work() const { return this->work_; }

private:
    [[nodiscard]] bool is_limited() const;
    [[nodiscard]] double room_ms() const;
    [[nodiscard]] double usual_reading_ms() const;
    void end_window();

    pace_limit_options options_;
    model::engine_pace pace_;
    duration longest_gap_{};
    double work_ = 1;
    std::size_t ranks_ = 1;
    time_point window_start_{};
    std::vector<double> gaps_ms_;
    double running_sum_ = 0;
};

} // namespace medlaryoke::policy
