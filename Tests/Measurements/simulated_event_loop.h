#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::measurements {

/// Event loop with a simulated clock: runs functions in the order of their times without waiting.
/// Functions with the same time run in the order in which they were added.
class simulated_event_loop {
public:
    /// @return the simulated time
    [[nodiscard]] time_point now() const { return this->now_; }

    /// Runs a function after a delay.
    /// @param delay simulated time from now
    /// @param fn the function
    void after(duration delay, std::function<void()> fn)
    {
        this->events_.push({this->now_ + delay, ++this->sequence_, std::move(fn)});
    }

    /// Runs all functions that are due, including those that they add, and advances the clock.
    /// @param end simulated time at which the clock stops
    void run_until(time_point end)
    {
        while (!this->events_.empty() && this->events_.top().at <= end) {
            auto next = this->events_.top();
            this->events_.pop();
            this->now_ = next.at;
            next.fn();
        }
        this->now_ = end;
    }

private:
    struct event {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> fn;

        bool operator<(const event& other) const
        {
            return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence);
        }
    };

    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
};

/// @param value number of seconds
/// @return the same time as a duration
inline duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// @param value a duration
/// @return its number of seconds
inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace medlaryoke::measurements
