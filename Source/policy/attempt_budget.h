#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace medlaryoke::policy {

struct attempt_budget_options {
    double ratio = 0.2;                         ///< further attempts for each request
    double extra = 0;                           ///< further attempts in a window besides
    duration window = std::chrono::seconds(10); ///< any span of this length counts
};

/// Bounds the attempts beyond the first of each request in a sliding window. The bound holds for
/// all gateways together, so each takes its part of the extra attempts. Not thread safe.
class attempt_budget {
public:
    /// Sets the bound and the number of processes that share it.
    /// @param options the bound for all processes together
    /// @param sharers processes that may use it, this one included
    void configure(const attempt_budget_options& options, std::size_t sharers);

    /// Counts a request.
    void on_request(time_point now);

    /// Takes one further attempt.
    /// @param now the current time
    /// @return whether it may be made; if so it is counted
    bool try_take(time_point now);

private:
    void forget_old(time_point now);

    attempt_budget_options options_;
    std::size_t sharers_ = 1;
    std::deque<time_point> requests_;
    std::deque<time_point> taken_;
};

} // namespace medlaryoke::policy
