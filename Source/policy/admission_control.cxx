#include "policy/admission_control.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlaryoke::policy {

namespace {

constexpr double rate_smoothing = 0.3; ///< weight of the newest interval in the rates
/// Longest time without calls that is still divided into intervals; after a longer one, all
/// intervals but the last are skipped.
constexpr int max_idle_intervals = 20;

} // namespace

admission_control::admission_control(admission_options options) : options_(std::move(options)) {}

void admission_control::on_served(unsigned priority, double cost, bool backlogged, time_point now)
{
    this->close_intervals(backlogged, now);
    this->served_cost_[priority] += cost;
    this->always_backlogged_ = this->always_backlogged_ && backlogged;
}

admission_decision admission_control::decide(const work_item& item, const work_ahead& ahead,
                                             time_point now)
{
    const auto total = ahead.same_priority + ahead.more_urgent;
    this->close_intervals(total > 0, now);
    if (this->rate_ <= 0) {
        return {};
    }
    double urgent_rate = 0;
    for (const auto& [order, rate] : this->served_rates_) {
        urgent_rate += order < item.priority ? rate : 0;
    }
    const auto floor_rate = this->floor_of(item.priority) * this->rate_;
    const auto available_rate = std::max({this->rate_ - urgent_rate, floor_rate, 1e-9});
    auto wait_s = ahead.same_priority / available_rate + ahead.more_urgent / this->rate_;
    if (floor_rate > 0) {
        wait_s = std::min(wait_s, ahead.same_priority / floor_rate);
    }
    constexpr double max_wait_s = 1e6;
    const admission_decision decision{
        true, std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(std::min(wait_s, max_wait_s)))};
    if (item.deadline == time_point{}) {
        return decision;
    }
    const auto remaining_s = std::chrono::duration<double>(item.deadline - now).count();
    return {wait_s <= this->options_.max_wait_fraction * remaining_s, decision.predicted_wait};
}

void admission_control::set_priorities(std::vector<priority_rule> priorities)
{
    this->options_.priorities = std::move(priorities);
}

/// Ends the intervals that have passed and updates the rates. The measured rate equals the capacity
/// only while requests wait, so the estimate is lowered only by intervals with a constant backlog.
void admission_control::close_intervals(bool backlogged, time_point now)
{
    const auto seconds = std::chrono::duration<double>(this->options_.interval).count();
    if (now - this->interval_start_ > max_idle_intervals * this->options_.interval) {
        this->interval_start_ = now - this->options_.interval;
        this->always_backlogged_ = this->always_backlogged_ && backlogged;
    }
    while (now - this->interval_start_ >= this->options_.interval) {
        double sum = 0;
        for (auto& [order, rate] : this->served_rates_) {
            rate *= 1 - rate_smoothing;
        }
        for (const auto& [order, cost] : this->served_cost_) {
            this->served_rates_[order] += rate_smoothing * cost / seconds;
            sum += cost / seconds;
        }
        if (this->rate_ == 0 || sum > this->rate_ || this->always_backlogged_) {
            this->rate_ += (this->rate_ == 0 ? 1 : rate_smoothing) * (sum - this->rate_);
        }
        this->served_cost_.clear();
        this->always_backlogged_ = backlogged;
        this->interval_start_ += this->options_.interval;
    }
}

double admission_control::floor_of(unsigned priority) const
{
    double sum = 0;
    double floor = 0;
    for (const auto& it : this->options_.priorities) {
        sum += it.floor;
        floor = it.order == priority ? it.floor : floor;
    }
    return floor / std::max(sum, 1.0);
}

} // namespace medlaryoke::policy
