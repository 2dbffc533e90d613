#include "policy/pace_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlaryoke::policy {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

// A pause this many times the longest allowed is a stall, which says nothing about the batch.
constexpr double stall_factor = 4;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

pace_limit::pace_limit(pace_limit_options options) : options_(options), limit_(unlimited) {}

void pace_limit::configure(duration empty_pass, duration longest_gap)
{
    this->empty_pass_ = empty_pass;
    this->longest_gap_ = longest_gap;
    if (empty_pass <= duration::zero() || longest_gap <= duration::zero()) {
        this->limit_ = unlimited;
    }
}

void pace_limit::on_gap(duration gap, double running, time_point now)
{
    const bool is_limited =
        this->empty_pass_ > duration::zero() && this->longest_gap_ > duration::zero();
    if (!is_limited || running <= 0 || to_ms(gap) > stall_factor * to_ms(this->longest_gap_)) {
        return;
    }
    if (this->samples_ > 0 && now - this->window_start_ >= this->options_.window) {
        this->end_window();
    }
    if (this->samples_ == 0) {
        this->window_start_ = now;
    }
    this->gap_sum_ms_ += to_ms(gap);
    this->running_sum_ += running;
    ++this->samples_;
}

void pace_limit::end_window()
{
    const auto n = static_cast<double>(this->samples_);
    const auto gap = this->gap_sum_ms_ / n;
    const auto running = this->running_sum_ / n;
    this->samples_ = 0;
    this->gap_sum_ms_ = 0;
    this->running_sum_ = 0;
    constexpr double least_ms_per_request = 0.1;
    const auto measured =
        std::max((gap - to_ms(this->empty_pass_)) / running, least_ms_per_request);
    this->ms_per_request_ = this->ms_per_request_ == 0 ? measured
                                                       : std::lerp(this->ms_per_request_, measured,
                                                                   this->options_.smoothing);
    const auto room =
        this->options_.target_part * to_ms(this->longest_gap_) - to_ms(this->empty_pass_);
    this->limit_ = std::max(room / this->ms_per_request_, this->options_.least);
}

} // namespace medlaryoke::policy
