#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::measurements {

/// Runs functions in the order of their virtual time.
class virtual_time {
public:
    [[nodiscard]] time_point now() const { return this->now_; }

    void after(duration delay, std::function<void()> fn)
    {
        this->events_.push({this->now_ + delay, ++this->sequence_, std::move(fn)});
    }

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

/// @param value a time in seconds
/// @return the same as a duration
inline duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// @param value a duration
/// @return the same in seconds
inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace medlaryoke::measurements
