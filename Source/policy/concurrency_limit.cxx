#include "policy/concurrency_limit.h"

#include <algorithm>
#include <chrono>

namespace medlaryoke::policy {

namespace {

/// A window ends after this many samples, or after as many as the limit if that is larger.
constexpr std::size_t min_window_samples = 10;
constexpr double refusal_decrease_factor = 0.8; ///< applied to the limit after refusals
/// Number of windows between probes. A probe lowers the limit for two windows: the first one drains
/// the calls admitted before, the second one measures the latency without queueing. Without probes
/// the minimum latency drifted upwards under lasting load and the limit grew without bound.
constexpr unsigned windows_between_probes = 50;
constexpr double probe_limit_factor = 0.5; ///< limit during a probe, relative to the limit before
/// A latency in a probe below this multiple of the known minimum shows that calls were queueing.
constexpr double queueing_latency_ratio = 0.8;
/// Windows until the next probe if the last one showed that calls were queueing.
constexpr unsigned windows_before_repeated_probe = 5;
/// Smallest factor that the limit is multiplied by after one window. One call too many can multiply
/// the latency, so that a decrease in proportion to the latency went far below the capacity.
constexpr double min_decrease_factor = 0.9;
constexpr double increase_per_window = 1; ///< calls added to the limit per window
/// Windows before the limit may again reach the value at which the latency last increased.
constexpr unsigned windows_before_ceiling_retry = 10;

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_(options), limit_(std::clamp(options.initial, options.minimum, options.maximum)),
      windows_since_probe_(windows_between_probes - windows_before_repeated_probe)
{
}

bool concurrency_limit::try_acquire()
{
    if (this->in_flight_ >= this->limit()) {
        return false;
    }
    ++this->in_flight_;
    this->peak_in_flight_ = std::max(this->peak_in_flight_, this->in_flight_);
    return true;
}

void concurrency_limit::release(duration latency, call_outcome outcome)
{
    if (this->in_flight_ > 0) {
        --this->in_flight_;
    }
    if (this->stale_calls_ > 0) {
        --this->stale_calls_;
    }
    else if (outcome == call_outcome::succeeded) {
        this->latency_sum_s_ += std::chrono::duration<double>(latency).count();
        ++this->samples_;
    }
    else if (outcome == call_outcome::refused) {
        this->decrease_for_refusal();
    }
    if (this->samples_ >= std::max<std::size_t>(min_window_samples, this->limit())) {
        this->finish_window();
    }
}

/// Decreases the limit once for refusals that arrive together, as in one overload, and again once
/// more refusals than the limit have followed.
void concurrency_limit::decrease_for_refusal()
{
    if (!this->limit_cut_) {
        this->limit_cut_ = true;
        this->limit_ =
            std::max<double>(this->options_.minimum, this->limit_ * refusal_decrease_factor);
    }
    if (++this->refusals_since_cut_ > this->limit()) {
        this->refusals_since_cut_ = 0;
        this->limit_cut_ = false;
    }
}

void concurrency_limit::finish_window()
{
    const auto mean_latency_s = this->latency_sum_s_ / static_cast<double>(this->samples_);
    ++this->windows_since_probe_;
    if (this->windows_since_probe_ > windows_between_probes) {
        this->probe(mean_latency_s);
    }
    else {
        this->adjust_limit(mean_latency_s);
    }
    this->samples_ = 0;
    this->latency_sum_s_ = 0;
    this->peak_in_flight_ = this->in_flight_;
    this->limit_cut_ = false;
    this->refusals_since_cut_ = 0;
}

void concurrency_limit::probe(double mean_latency_s)
{
    if (this->windows_since_probe_ == windows_between_probes + 1) {
        this->limit_before_probe_ = this->limit_;
        this->limit_ = std::max<double>(this->options_.minimum, this->limit_ * probe_limit_factor);
    }
    else if (this->windows_since_probe_ == windows_between_probes + 3) {
        // A clearly lower latency shows that calls were queueing at the upstream, as after a start
        // with too high a limit: the lower limit stays and the next probe follows soon.
        const bool was_queueing = mean_latency_s < this->min_latency_s_ * queueing_latency_ratio;
        this->min_latency_s_ = mean_latency_s;
        this->windows_since_probe_ =
            was_queueing ? windows_between_probes - windows_before_repeated_probe : 0;
        if (!was_queueing && !this->limit_cut_) {
            this->limit_ = this->limit_before_probe_;
        }
    }
}

void concurrency_limit::adjust_limit(double mean_latency_s)
{
    this->min_latency_s_ =
        this->min_latency_s_ == 0 ? mean_latency_s : std::min(mean_latency_s, this->min_latency_s_);
    const auto gradient =
        this->options_.latency_tolerance * this->min_latency_s_ / std::max(mean_latency_s, 1e-9);
    if (gradient < 1) {
        this->ceiling_ = this->limit_;
        this->windows_below_ceiling_ = 0;
        this->stale_calls_ = this->in_flight_;
        this->limit_ *= std::max(gradient, min_decrease_factor);
    }
    else if (!this->limit_cut_ && this->peak_in_flight_ * 2 >= this->limit()) {
        // With less than half of the limit in use, the latency says nothing about a higher limit.
        ++this->windows_below_ceiling_;
        const bool hold = this->windows_below_ceiling_ < windows_before_ceiling_retry;
        this->limit_ = hold && this->ceiling_ > 0
                           ? std::max(this->limit_, std::min(this->limit_ + increase_per_window,
                                                             this->ceiling_ - increase_per_window))
                           : this->limit_ + increase_per_window;
    }
    this->limit_ = std::clamp<double>(this->limit_, this->options_.minimum, this->options_.maximum);
}

} // namespace medlaryoke::policy
