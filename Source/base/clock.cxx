#include "base/clock.h"

#include <ctime>

namespace medlaryoke {

time_point system_clock_source::now() const
{
    // Unlike the steady clock, this one counts the time for which the machine was suspended. A
    // lease or a deadline that ran out meanwhile has run out.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

time_point manual_clock::now() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->now_;
}

void manual_clock::advance(duration step)
{
    const std::scoped_lock lock(this->mutex_);
    this->now_ += step;
}

} // namespace medlaryoke
