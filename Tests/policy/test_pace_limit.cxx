#include "policy/pace_limit.h"

#include <chrono>
#include <cmath>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

/// Feeds pauses of engines whose pass takes 30 ms and a part for each request that runs.
void run(pace_limit& limit, double ms_per_request, double& running, time_point& now)
{
    for (int n = 0; n < 200; ++n) {
        running = std::min(12.0, limit.limit());
        const auto gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(30 + ms_per_request * running));
        now += gap;
        limit.on_gap(gap, running, now);
    }
}

} // namespace

// Guards against full batches that make every stream late while a few experts take most of the
// work, and against a limit that stays after they no longer do.
Test(pace_limit, follows_the_cost_of_a_request)
{
    pace_limit limit;
    limit.configure(30ms, 120ms);
    double running = 12;
    time_point now{1s};
    run(limit, 10, running, now);
    cr_assert(30 + 10 * running <= 120, "%f", running);
    cr_assert(30 + 10 * running >= 80, "%f", running);
    run(limit, 3, running, now);
    cr_assert(running == 12, "%f", running);
}

// Guards against a stalled group that is taken for an overloaded one.
Test(pace_limit, ignores_stalls_and_services_without_pace)
{
    pace_limit limit;
    cr_assert(std::isinf(limit.limit()));
    limit.on_gap(500ms, 12, time_point{1s});
    cr_assert(std::isinf(limit.limit()));
    limit.configure(30ms, 120ms);
    for (int n = 0; n < 100; ++n) {
        limit.on_gap(2s, 12, time_point{1s} + n * 100ms);
    }
    cr_assert(std::isinf(limit.limit()));
}
