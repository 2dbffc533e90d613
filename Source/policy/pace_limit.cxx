#include "policy/pace_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlaryoke::policy {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

// A pause this many times the longest allowed is a stall, which says nothing about the skew.
constexpr double stall_factor = 3;

constexpr double ms_per_second = 1000;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

pace_limit::pace_limit(pace_limit_options options) : options_(options) {}

void pace_limit::configure(const model::engine_pace& pace, duration longest_gap)
{
    this->pace_ = pace;
    this->longest_gap_ = longest_gap;
}

void pace_limit::on_gap(duration gap, double running, std::size_t ranks, time_point now)
{
    if (!this->is_limited() || running <= 0 ||
        to_ms(gap) > stall_factor * to_ms(this->longest_gap_)) {
        return;
    }
    this->ranks_ = ranks;
    if (!this->gaps_ms_.empty() && now - this->window_start_ >= this->options_.window) {
        this->end_window();
    }
    if (this->gaps_ms_.empty()) {
        this->window_start_ = now;
    }
    this->gaps_ms_.push_back(to_ms(gap));
    this->running_sum_ += running;
}

void pace_limit::end_window()
{
    const auto running = this->running_sum_ / static_cast<double>(this->gaps_ms_.size());
    // The shorter pauses are those of passes that read less than usual.
    const auto quarter =
        this->gaps_ms_.begin() + static_cast<std::ptrdiff_t>(this->gaps_ms_.size() / 4);
    std::ranges::nth_element(this->gaps_ms_, quarter);
    const auto steps = static_cast<double>(this->pace_.steps_per_pass);
    const auto writing = to_ms(this->pace_.step_per_sequence) * steps * running;
    const auto measured =
        std::clamp((*quarter - to_ms(this->pace_.step) * steps) /
                       (writing + this->options_.short_read * this->usual_reading_ms()),
                   1.0, this->options_.most_work);
    this->work_ = std::lerp(this->work_, measured,
                            measured > this->work_ ? this->options_.rise : this->options_.fall);
    this->gaps_ms_.clear();
    this->running_sum_ = 0;
}

double pace_limit::run_limit() const
{
    if (!this->is_limited()) {
        return unlimited;
    }
    const auto each = to_ms(this->pace_.step_per_sequence) * this->pace_.steps_per_pass;
    const auto now = (this->room_ms() / this->work_ - this->usual_reading_ms()) / each;
    const auto planned = this->options_.even_part * this->room_ms() / each;
    return std::max(std::min(now, planned), this->options_.least);
}

double pace_limit::read_limit(double running) const
{
    if (!this->is_limited()) {
        return unlimited;
    }
    const auto writing =
        to_ms(this->pace_.step_per_sequence) * this->pace_.steps_per_pass * this->work_ * running;
    const auto tokens = (this->room_ms() - writing) / this->work_ / ms_per_second *
                        this->pace_.read_tokens_per_second;
    // Engines read at most a chunk a step, so more at once does not lengthen a pass further.
    const auto most =
        static_cast<double>(this->pace_.chunk) * static_cast<double>(this->pace_.steps_per_pass);
    if (most > 0 && tokens >= most) {
        return unlimited;
    }
    return std::max(tokens, 0.0);
}

double pace_limit::usual_reading_ms() const
{
    constexpr double smallest_group = 8;
    const auto doublings =
        std::log2(std::max(static_cast<double>(this->ranks_), smallest_group) / smallest_group);
    const auto part = this->options_.read_part + this->options_.read_part_per_doubling * doublings;
    return part * this->pace_.usual_prompt / this->pace_.read_tokens_per_second * ms_per_second;
}

bool pace_limit::is_limited() const
{
    return this->longest_gap_ > duration::zero() && this->pace_.steps_per_pass > 0 &&
           this->pace_.step_per_sequence > duration::zero() &&
           this->pace_.read_tokens_per_second > 0;
}

double pace_limit::room_ms() const
{
    return this->options_.target_part * to_ms(this->longest_gap_) -
           to_ms(this->pace_.step) * this->pace_.steps_per_pass;
}

} // namespace medlaryoke::policy
