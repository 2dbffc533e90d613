#include "policy/read_schedule.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

// Guards against gateways that are all blind for as long as the longest wait, because a change has
// ended all their reads at the same moment.
Test(read_schedule, some_answer_is_due_soon_at_any_moment)
{
    const read_schedule_options options;
    for (const std::size_t count : {1U, 2U, 3U, 4U, 13U, 31U}) {
        std::vector<duration> due;
        for (std::size_t rank = 0; rank < count; ++rank) {
            auto at = read_wait(options, rank, count, true);
            for (; at < 12s; at += read_wait(options, rank, count, false)) {
                due.push_back(at);
            }
        }
        std::ranges::sort(due);
        duration previous{};
        for (const auto at : due) {
            cr_assert(at - previous <= options.blind_time, "%zu gateways", count);
            previous = at;
        }
    }
}

// Guards against more calls to the store than before where several gateways share the watch.
Test(read_schedule, gateways_that_share_the_watch_wait_long)
{
    const read_schedule_options options;
    cr_assert(read_wait(options, 0, 3, false) == options.max_wait);
    cr_assert(read_wait(options, 0, 60, false) == options.max_wait);
    cr_assert(read_wait(options, 0, 1, false) == options.blind_time);
    cr_assert(read_wait(options, 5, 3, true) == options.max_wait, "the table of peers may lag");
    cr_assert(read_wait(options, 0, 0, true) == options.blind_time);
    cr_assert(read_wait(options, 0, 300, true) == options.min_wait);
}
