#pragma once

#include <cstddef>
#include <vector>

#include "base/clock.h"
#include "model/route_config.h"

namespace medlaryoke::policy {

struct step_time_limit_options {
    /// Fraction of the longest allowed gap that the predicted step time may reach. The rest covers
    /// the network and the error of the prediction.
    double target_fraction = 0.97;
    /// Length of the longest prefill in a step, in mean prompts, for a group of 8 ranks.
    double prefill_prompts = 1;
    /// Increase of that length for each doubling of the ranks, because the longest prompt of more
    /// ranks determines the step time.
    double prefill_prompts_per_doubling = 0.35;
    /// Prefill in the lower quartile of steps, as a fraction of that length.
    double short_step_prefill_fraction = 0.6;
    duration window = std::chrono::milliseconds(200); ///< period over which gaps are collected
    /// Weights of the newest window in the work factor, if it is above or below the current value.
    /// A shift of expert popularity lengthens steps at once, so increases take effect faster.
    double increase_weight = 0.7;
    double decrease_weight = 0.2;
    /// Fraction of the variable step time that decoding may take with balanced experts. The rest is
    /// kept because expert popularity can shift to several times the work at once, and the requests
    /// that run at that time cannot be moved.
    double balanced_decode_fraction = 0.23;
    double min_running = 2;     ///< lower bound of run_limit()
    double max_work_factor = 5; ///< larger estimates are caused by stalls, not by skew
    /// Time without an event after which the work factor is forgotten. Callers leave a stream that
    /// pauses for two seconds, so none of the streams that it was measured on runs any more.
    duration memory = std::chrono::seconds(2);
};

/// Limits the running requests and the prefill work of a lock-step group, so that the predicted
/// step time stays below the longest allowed gap between events. All ranks wait for the slowest
/// one, so one long step makes every running stream late. A step is one round of the whole group,
/// in which each engine runs engine_pace::token_steps_per_step token steps. It takes a fixed time,
/// the decoding time of each running request, and the prefill time of the rank with the longest
/// prompts. Decoding and prefill time grow with the skew of the experts, which is expressed as a
/// work factor and estimated from the lower quartile of the gaps between events. Not thread safe.
class step_time_limit {
public:
    explicit step_time_limit(step_time_limit_options options = {});

    /// Sets the timing of the engines and the longest allowed gap.
    /// @param pace timing of the engines; with zero token steps or times nothing is limited
    /// @param longest_gap longest gap between events that is still on time; zero for no limit
    void configure(const model::engine_pace& pace, duration longest_gap);

    /// Updates the work factor from the gap between two events of a stream.
    /// @param gap time between the events
    /// @param running mean number of running requests per engine
    /// @param ranks number of engines
    /// @param now the current time
    void on_gap(duration gap, double running, std::size_t ranks, time_point now);

    /// Forgets the work factor if no event has come for the time that it is remembered. Without
    /// events it could not change any more, and a limit that admits no request would bring none.
    /// @param now the current time
    /// @return whether it was forgotten
    bool on_tick(time_point now);

    /// @return mean number of requests that an engine may run; infinity if unlimited
    [[nodiscard]] double run_limit() const;

    /// @param running mean number of running requests per engine
    /// @return prompt tokens that one engine may prefill in a step; infinity if unlimited
    [[nodiscard]] double prefill_token_limit(double running) const;

    /// @return work of a step, as a multiple of the work with balanced experts
    [[nodiscard]] double work_factor() const { return this->work_factor_; }

private:
    [[nodiscard]] bool is_limited() const;
    /// @return target step time without the fixed time, for decoding and prefill
    [[nodiscard]] double variable_step_ms() const;
    /// @return time of the longest prefill in a step with balanced experts
    [[nodiscard]] double usual_prefill_ms() const;
    void end_window();

    step_time_limit_options options_;
    model::engine_pace pace_;
    duration longest_gap_{};
    double work_factor_ = 1;
    std::size_t rank_count_ = 1;
    time_point window_start_{};
    time_point last_gap_at_{};
    std::vector<double> gaps_ms_;
    double running_sum_ = 0;
};

} // namespace medlaryoke::policy
