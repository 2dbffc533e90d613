#include "policy/step_time_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlaryoke::policy {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

// A gap longer than this multiple of the longest allowed gap is a stall, which is not caused by
// skew.
constexpr double stall_gap_factor = 3;

constexpr double ms_per_second = 1000;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

step_time_limit::step_time_limit(step_time_limit_options options) : options_(options) {}

void step_time_limit::configure(const model::engine_pace& pace, duration longest_gap)
{
    this->pace_ = pace;
    this->longest_gap_ = longest_gap;
}

void step_time_limit::on_gap(duration gap, double running, std::size_t ranks, time_point now)
{
    if (!this->is_limited() || running <= 0 ||
        to_ms(gap) > stall_gap_factor * to_ms(this->longest_gap_)) {
        return;
    }
    this->rank_count_ = ranks;
    this->last_gap_at_ = now;
    if (!this->gaps_ms_.empty() && now - this->window_start_ >= this->options_.window) {
        this->end_window();
    }
    if (this->gaps_ms_.empty()) {
        this->window_start_ = now;
    }
    this->gaps_ms_.push_back(to_ms(gap));
    this->running_sum_ += running;
}

void step_time_limit::end_window()
{
    const auto running = this->running_sum_ / static_cast<double>(this->gaps_ms_.size());
    // Short gaps come from steps with little prefill, so they depend mostly on the decoding time.
    const auto lower_quartile =
        this->gaps_ms_.begin() + static_cast<std::ptrdiff_t>(this->gaps_ms_.size() / 4);
    std::ranges::nth_element(this->gaps_ms_, lower_quartile);
    const auto token_steps = static_cast<double>(this->pace_.token_steps_per_step);
    const auto decode_ms = to_ms(this->pace_.token_step_time_per_sequence) * token_steps * running;
    const auto measured = std::clamp(
        (*lower_quartile - to_ms(this->pace_.step) * token_steps) /
            (decode_ms + this->options_.short_step_prefill_fraction * this->usual_prefill_ms()),
        1.0, this->options_.max_work_factor);
    this->work_factor_ = std::lerp(this->work_factor_, measured,
                                   measured > this->work_factor_ ? this->options_.increase_weight
                                                                 : this->options_.decrease_weight);
    this->gaps_ms_.clear();
    this->running_sum_ = 0;
}

bool step_time_limit::on_tick(time_point now)
{
    if (this->work_factor_ <= 1 || now - this->last_gap_at_ < this->options_.memory) {
        return false;
    }
    this->work_factor_ = 1;
    this->gaps_ms_.clear();
    this->running_sum_ = 0;
    return true;
}

double step_time_limit::run_limit() const
{
    if (!this->is_limited()) {
        return unlimited;
    }
    const auto decode_ms_per_request =
        to_ms(this->pace_.token_step_time_per_sequence) * this->pace_.token_steps_per_step;
    const auto current_limit =
        (this->variable_step_ms() / this->work_factor_ - this->usual_prefill_ms()) /
        decode_ms_per_request;
    const auto balanced_limit =
        this->options_.balanced_decode_fraction * this->variable_step_ms() / decode_ms_per_request;
    return std::max(std::min(current_limit, balanced_limit), this->options_.min_running);
}

double step_time_limit::prefill_token_limit(double running) const
{
    if (!this->is_limited()) {
        return unlimited;
    }
    const auto decode_ms = to_ms(this->pace_.token_step_time_per_sequence) *
                           this->pace_.token_steps_per_step * this->work_factor_ * running;
    const auto tokens = (this->variable_step_ms() - decode_ms) / this->work_factor_ /
                        ms_per_second * this->pace_.prefill_tokens_per_second;
    // An engine prefills at most one chunk per token step, so more waiting tokens do not lengthen
    // a step.
    const auto max_tokens = static_cast<double>(this->pace_.chunk) *
                            static_cast<double>(this->pace_.token_steps_per_step);
    if (max_tokens > 0 && tokens >= max_tokens) {
        return unlimited;
    }
    return std::max(tokens, 0.0);
}

double step_time_limit::usual_prefill_ms() const
{
    constexpr double base_ranks = 8;
    const auto doublings =
        std::log2(std::max(static_cast<double>(this->rank_count_), base_ranks) / base_ranks);
    const auto prompts =
        this->options_.prefill_prompts + this->options_.prefill_prompts_per_doubling * doublings;
    return prompts * this->pace_.mean_prompt_tokens / this->pace_.prefill_tokens_per_second *
           ms_per_second;
}

bool step_time_limit::is_limited() const
{
    return this->longest_gap_ > duration::zero() && this->pace_.token_steps_per_step > 0 &&
           this->pace_.token_step_time_per_sequence > duration::zero() &&
           this->pace_.prefill_tokens_per_second > 0;
}

double step_time_limit::variable_step_ms() const
{
    return this->options_.target_fraction * to_ms(this->longest_gap_) -
           to_ms(this->pace_.step) * this->pace_.token_steps_per_step;
}

} // namespace medlaryoke::policy
