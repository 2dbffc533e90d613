#include "policy/concurrency_limit.h"

#include <algorithm>
#include <chrono>

namespace medlaryoke::policy {

namespace {

constexpr std::size_t min_window_samples = 10;
constexpr double refusal_backoff = 0.8;
/// Every so many windows the limit is halved for two: the first drains what was admitted before,
/// the second measures the latency without queueing anew. A slow upward drift of the known value
/// let the limit run away under lasting load.
constexpr unsigned windows_between_probes = 50;
constexpr double probe_part = 0.5;
constexpr double probe_gain = 0.8;
constexpr unsigned windows_after_gain = 5;
/// One request too many can multiply the latency, so a cut in proportion to the latency went far
/// below the capacity.
constexpr double strongest_cut = 0.9;
constexpr double growth = 1; ///< requests a window
/// The limit at which the latency last grew is tried again after so many windows.
constexpr unsigned windows_between_attempts = 10;

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_(options), limit_(std::clamp(options.initial, options.minimum, options.maximum)),
      windows_(windows_between_probes - windows_after_gain)
{
}

bool concurrency_limit::try_acquire()
{
    if (this->in_flight_ >= this->limit()) {
        return false;
    }
    ++this->in_flight_;
    this->most_in_flight_ = std::max(this->most_in_flight_, this->in_flight_);
    return true;
}

void concurrency_limit::release(duration latency, call_outcome outcome)
{
    if (this->in_flight_ > 0) {
        --this->in_flight_;
    }
    if (this->outdated_ > 0) {
        --this->outdated_;
    }
    else if (outcome == call_outcome::succeeded) {
        this->latency_sum_ += std::chrono::duration<double>(latency).count();
        ++this->samples_;
    }
    else if (outcome == call_outcome::refused) {
        this->on_refusal();
    }
    if (this->samples_ >= std::max<std::size_t>(min_window_samples, this->limit())) {
        this->finish_window();
    }
}

/// Cuts once for the refusals of one overload, which arrive together, and again if they go on.
void concurrency_limit::on_refusal()
{
    if (!this->refused_) {
        this->refused_ = true;
        this->limit_ = std::max<double>(this->options_.minimum, this->limit_ * refusal_backoff);
    }
    if (++this->refusals_ > this->limit()) {
        this->refusals_ = 0;
        this->refused_ = false;
    }
}

void concurrency_limit::finish_window()
{
    const auto mean = this->latency_sum_ / static_cast<double>(this->samples_);
    ++this->windows_;
    if (this->windows_ > windows_between_probes) {
        this->probe(mean);
    }
    else {
        this->adapt(mean);
    }
    this->samples_ = 0;
    this->latency_sum_ = 0;
    this->most_in_flight_ = this->in_flight_;
    this->refused_ = false;
    this->refusals_ = 0;
}

void concurrency_limit::probe(double mean)
{
    if (this->windows_ == windows_between_probes + 1) {
        this->limit_before_probe_ = this->limit_;
        this->limit_ = std::max<double>(this->options_.minimum, this->limit_ * probe_part);
    }
    else if (this->windows_ == windows_between_probes + 3) {
        // A clearly shorter latency means that the upstream was queueing all along, as after a
        // start with too high a limit: the lower limit stays and the next probe follows soon.
        const bool was_queueing = mean < this->best_latency_ * probe_gain;
        this->best_latency_ = mean;
        this->windows_ = was_queueing ? windows_between_probes - windows_after_gain : 0;
        if (!was_queueing && !this->refused_) {
            this->limit_ = this->limit_before_probe_;
        }
    }
}

void concurrency_limit::adapt(double mean)
{
    this->best_latency_ = this->best_latency_ == 0 ? mean : std::min(mean, this->best_latency_);
    const auto gradient = this->options_.tolerance * this->best_latency_ / std::max(mean, 1e-9);
    if (gradient < 1) {
        this->ceiling_ = this->limit_;
        this->windows_below_ceiling_ = 0;
        this->outdated_ = this->in_flight_;
        this->limit_ *= std::max(gradient, strongest_cut);
    }
    else if (!this->refused_ && this->most_in_flight_ * 2 >= this->limit()) {
        // Below half of the limit the upstream has not shown that it can take more.
        ++this->windows_below_ceiling_;
        const bool hold = this->windows_below_ceiling_ < windows_between_attempts;
        this->limit_ =
            hold && this->ceiling_ > 0
                ? std::max(this->limit_, std::min(this->limit_ + growth, this->ceiling_ - growth))
                : this->limit_ + growth;
    }
    this->limit_ = std::clamp<double>(this->limit_, this->options_.minimum, this->options_.maximum);
}

} // namespace medlaryoke::policy
