#pragma once

#include <cmath>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Measures the rate of events as an exponential moving average.
class rate_meter {
public:
    /// Counts an event.
    void add(time_point now)
    {
        this->rate_ = this->per_second(now) + 1 / smoothing_seconds;
        this->updated_at_ = now;
    }

    /// @return events a second
    [[nodiscard]] double per_second(time_point now) const
    {
        const auto age = std::chrono::duration<double>(now - this->updated_at_).count();
        return this->rate_ * std::exp(-age / smoothing_seconds);
    }

private:
    static constexpr double smoothing_seconds = 1;
    double rate_ = 0;
    time_point updated_at_{};
};

} // namespace medlaryoke::policy
