#include "base/clock.h"

#include <chrono>
#include <ctime>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace std::chrono_literals;

// Guards against a lease or a deadline that still counts after the machine was suspended past its
// end. The steady clock does not count that time.
Test(clock, counts_the_time_of_a_suspended_machine)
{
    const system_clock_source clock;
    timespec time{};
    cr_assert(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
    const auto boot_time =
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    const auto later = clock.now().time_since_epoch() - boot_time;
    cr_assert(later >= 0ns && later < 1s);
}
