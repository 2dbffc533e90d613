#pragma once

#include <deque>
#include <utility>

#include "base/clock.h"

namespace medlaryoke::standins {

/// Values by time, which become visible after a lag, as load reports do. Not thread safe.
template <typename Value>
class load_history {
public:
    /// @param lag time before a value becomes visible
    explicit load_history(duration lag) : lag_(lag) {}

    /// @param now time of the value, not earlier than the times of previous values
    /// @param value the value that holds from then on
    void add(time_point now, Value value)
    {
        this->trim(now);
        this->values_.emplace_back(now, std::move(value));
    }

    /// @param now the current time
    /// @return the value that held at `now` minus the lag; a default value if there was none
    [[nodiscard]] Value get(time_point now)
    {
        this->trim(now);
        return this->values_.empty() || this->values_.front().first > now - this->lag_
                   ? Value{}
                   : this->values_.front().second;
    }

private:
    /// Drops values that a newer visible value replaces.
    void trim(time_point now)
    {
        while (this->values_.size() > 1 && this->values_[1].first <= now - this->lag_) {
            this->values_.pop_front();
        }
    }

    duration lag_;
    std::deque<std::pair<time_point, Value>> values_;
};

} // namespace medlaryoke::standins
