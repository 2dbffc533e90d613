#include "policy/attempt_budget.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

// Fraction of the bound that is used. The rest covers requests that were counted by another gateway
// and gateways that started after the last count of gateways.
constexpr double usable_fraction = 0.7;

} // namespace

void attempt_budget::configure(const attempt_budget_options& options, std::size_t gateways)
{
    this->options_ = options;
    this->gateways_ = std::max<std::size_t>(gateways, 1);
}

void attempt_budget::on_request(time_point now)
{
    this->remove_old(now);
    this->requests_.push_back(now);
}

bool attempt_budget::try_take(time_point now)
{
    this->remove_old(now);
    const auto bound =
        usable_fraction *
        (this->options_.retries_per_request * static_cast<double>(this->requests_.size()) +
         this->options_.extra_retries / static_cast<double>(this->gateways_));
    if (static_cast<double>(this->retries_.size()) + 1 > bound) {
        return false;
    }
    this->retries_.push_back(now);
    return true;
}

void attempt_budget::remove_old(time_point now)
{
    const auto oldest = now - this->options_.window;
    const auto remove_before_window = [oldest](std::deque<time_point>& times) {
        while (!times.empty() && times.front() <= oldest) {
            times.pop_front();
        }
    };
    remove_before_window(this->requests_);
    remove_before_window(this->retries_);
}

} // namespace medlaryoke::policy
