#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

namespace medlaryoke::fakes {

/// A clock and timers that move only when the test says so; for one thread.
class hand_driven_time {
public:
    /// Runs a function once after a delay.
    void after(duration delay, std::function<void()> fn)
    {
        this->calls_.emplace(this->clock.now() + delay, std::move(fn));
    }

    /// @return the timer as controllers take it
    std::function<void(duration, std::function<void()>)> timer()
    {
        return
            [this](duration delay, std::function<void()> fn) { this->after(delay, std::move(fn)); };
    }

    /// Moves the clock forward and runs what becomes due, in order.
    void run_for(duration span)
    {
        const auto end = this->clock.now() + span;
        while (!this->calls_.empty() && this->calls_.begin()->first <= end) {
            auto call = this->calls_.extract(this->calls_.begin());
            this->clock.advance(call.key() - this->clock.now());
            call.mapped()();
        }
        this->clock.advance(end - this->clock.now());
    }

    manual_clock clock;

private:
    std::multimap<time_point, std::function<void()>> calls_;
};

} // namespace medlaryoke::fakes
