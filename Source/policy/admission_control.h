#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "policy/work_queue.h"

namespace medlaryoke::policy {

struct admission_options {
    std::vector<priority_rule> priorities;
    duration interval = std::chrono::milliseconds(500); ///< over which service rates are measured
    /// Fraction of the time to the deadline that the predicted wait may take; the rest is needed
    /// for the service itself.
    double max_wait_fraction = 0.8;
};

/// Work that waits ahead of a new request, in tokens.
struct work_ahead {
    double same_priority = 0; ///< see work_queue::cost_ahead()
    double more_urgent = 0;   ///< see work_queue::more_urgent_cost()
};

struct admission_decision {
    bool admitted = true;
    duration predicted_wait{}; ///< zero while the service rate is unknown
};

/// Refuses requests that would miss their deadline in the queue. Predicts the wait from the
/// measured service rate: a priority gets the rate that more urgent ones leave, but at least its
/// floor, so that less urgent requests are refused first and floors are kept. Not thread safe.
class admission_control {
public:
    explicit admission_control(admission_options options);

    /// Records a request that left the queue for an upstream.
    /// @param priority order of the priority
    /// @param cost its expected work, in tokens
    /// @param backlogged whether other requests still wait
    /// @param now the current time
    void on_served(unsigned priority, double cost, bool backlogged, time_point now);

    /// Decides whether a new request is admitted.
    /// @param item the request
    /// @param ahead work that would be served before it
    /// @param now the current time
    /// @return whether to queue it, and the predicted wait
    admission_decision decide(const work_item& item, const work_ahead& ahead, time_point now);

    /// Replaces the priority rules.
    /// @param priorities the new rules
    void set_priorities(std::vector<priority_rule> priorities);

    /// @return the estimated service rate in tokens per second; 0 if unknown
    [[nodiscard]] double service_rate() const { return this->rate_; }

private:
    void close_intervals(bool backlogged, time_point now);
    /// @return floor of a priority, scaled down if all floors add up to more than 1
    [[nodiscard]] double floor_of(unsigned priority) const;

    admission_options options_;
    time_point interval_start_{};
    std::map<unsigned, double> served_cost_;  ///< tokens by priority in this interval
    std::map<unsigned, double> served_rates_; ///< moving averages, in tokens per second
    double rate_ = 0;                         ///< estimated capacity, in tokens per second
    bool always_backlogged_ = true;           ///< requests waited throughout this interval
};

} // namespace medlaryoke::policy
