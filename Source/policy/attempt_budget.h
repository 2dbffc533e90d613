#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace medlaryoke::policy {

struct attempt_budget_options {
    double retries_per_request = 0.2; ///< retries allowed for each request in the window
    double extra_retries = 0;         ///< retries allowed in addition, for all gateways together
    duration window = std::chrono::seconds(10); ///< length of the sliding window
};

/// Limits the retries, which are the attempts of a request after its first, in a sliding window.
/// The limit applies to all gateways together, so each uses an equal share of the extra retries.
/// Not thread safe.
class attempt_budget {
public:
    /// Sets the limit and the number of gateways that share it.
    /// @param options limit for all gateways together
    /// @param gateways number of gateways, including this one
    void configure(const attempt_budget_options& options, std::size_t gateways);

    /// Counts a new request.
    /// @param now the current time
    void on_request(time_point now);

    /// Takes one retry from the budget.
    /// @param now the current time
    /// @return whether the retry may be made; if so, it is counted
    bool try_take(time_point now);

private:
    void remove_old(time_point now);

    attempt_budget_options options_;
    std::size_t gateways_ = 1;
    std::deque<time_point> requests_; ///< times of the requests in the window
    std::deque<time_point> retries_;  ///< times of the retries in the window
};

} // namespace medlaryoke::policy
