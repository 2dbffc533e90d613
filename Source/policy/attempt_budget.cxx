#include "policy/attempt_budget.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

// Part of the bound that is used: the rest covers requests counted by another process, and
// processes that started after the sharers were counted.
constexpr double used_part = 0.7;

} // namespace

void attempt_budget::configure(const attempt_budget_options& options, std::size_t sharers)
{
    this->options_ = options;
    this->sharers_ = std::max<std::size_t>(sharers, 1);
}

void attempt_budget::on_request(time_point now)
{
    this->forget_old(now);
    this->requests_.push_back(now);
}

bool attempt_budget::try_take(time_point now)
{
    this->forget_old(now);
    const auto bound =
        used_part * (this->options_.ratio * static_cast<double>(this->requests_.size()) +
                     this->options_.extra / static_cast<double>(this->sharers_));
    if (static_cast<double>(this->taken_.size()) + 1 > bound) {
        return false;
    }
    this->taken_.push_back(now);
    return true;
}

void attempt_budget::forget_old(time_point now)
{
    const auto oldest = now - this->options_.window;
    const auto forget = [oldest](std::deque<time_point>& times) {
        while (!times.empty() && times.front() <= oldest) {
            times.pop_front();
        }
    };
    forget(this->requests_);
    forget(this->taken_);
}

} // namespace medlaryoke::policy
