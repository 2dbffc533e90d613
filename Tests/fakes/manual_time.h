#pragma once

#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

namespace medlaryoke::fakes {

/// A clock and timers that advance only in run_for(). Not thread-safe.
class manual_time {
public:
    /// Runs a function once after a delay.
    void after(duration delay, std::function<void()> fn)
    {
        this->timers_.emplace(this->clock.now() + delay, std::move(fn));
    }

    /// @return a function that calls after(), in the form that controllers take
    std::function<void(duration, std::function<void()>)> timer()
    {
        return
            [this](duration delay, std::function<void()> fn) { this->after(delay, std::move(fn)); };
    }

    /// Advances the clock and runs the timers that become due, in the order of their times. The
    /// clock shows the time of a timer while it runs.
    void run_for(duration total)
    {
        const auto end = this->clock.now() + total;
        while (!this->timers_.empty() && this->timers_.begin()->first <= end) {
            auto timer = this->timers_.extract(this->timers_.begin());
            this->clock.advance(timer.key() - this->clock.now());
            timer.mapped()();
        }
        this->clock.advance(end - this->clock.now());
    }

    manual_clock clock;

private:
    std::multimap<time_point, std::function<void()>> timers_;
};

} // namespace medlaryoke::fakes
