#include "policy/upstream_selector.h"

#include <criterion/criterion.h>

using medlaryoke::time_point;
using medlaryoke::policy::upstream_candidate;
using medlaryoke::policy::upstream_selector;

// Guards against work being sent to an upstream that is full, leaving or ejected.
Test(upstream_selector, chooses_only_upstreams_with_room)
{
    const std::vector<upstream_candidate> full = {
        {.id = 1, .available = false, .limit = 9},
        {.id = 2, .reported_load = 3, .dispatched_since = 2, .limit = 5}};
    upstream_selector selector(1);
    cr_assert(!selector.choose(full, {}, time_point{}));
    cr_assert(!selector.choose({}, {}, time_point{}));
    auto open = full;
    open.push_back({.id = 3, .reported_load = 1, .limit = 2});
    for (int i = 0; i < 100; ++i) {
        cr_assert(selector.choose(open, {}, time_point{}) == 2U);
    }
}
