#pragma once

#include <deque>
#include <utility>

#include "base/clock.h"

namespace medlaryoke::standins {

/// Values by time, read with a lag. Not thread safe.
template <typename Value>
class load_history {
public:
    explicit load_history(duration lag) : lag_(lag) {}

    /// @param now time of the value, not before earlier ones
    /// @param value what holds from then on
    void add(time_point now, Value value)
    {
        this->trim(now);
        this->values_.emplace_back(now, std::move(value));
    }

    /// @param now the current time
    /// @return the value that held one lag ago
    [[nodiscard]] Value get(time_point now)
    {
        this->trim(now);
        return this->values_.empty() || this->values_.front().first > now - this->lag_
                   ? Value{}
                   : this->values_.front().second;
    }

private:
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
