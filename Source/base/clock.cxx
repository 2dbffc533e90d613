#include "base/clock.h"

namespace medlaryoke {

time_point system_clock_source::now() const
{
    return std::chrono::steady_clock::now();
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
