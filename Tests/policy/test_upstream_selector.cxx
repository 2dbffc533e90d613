#include "policy/upstream_selector.h"

#include <map>

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
    cr_assert(!selector.choose(full, {}, time_point{}).has_value());
    cr_assert(!selector.choose({}, {}, time_point{}).has_value());
    auto open = full;
    open.push_back({.id = 3, .reported_load = 1, .limit = 2});
    for (int i = 0; i < 100; ++i) {
        cr_assert(selector.choose(open, {.prefix_hashes = {5}}, time_point{}).value_or(9) == 2);
    }
}

// Guards against all entries sending to the one upstream that the last report showed idle.
Test(upstream_selector, does_not_herd_on_the_least_loaded)
{
    std::vector<upstream_candidate> candidates;
    for (std::uint64_t id = 0; id < 10; ++id) {
        candidates.push_back({.id = id, .reported_load = id == 3 ? 0U : 5U, .limit = 20});
    }
    std::map<std::size_t, int> chosen;
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        upstream_selector selector(seed);
        ++chosen[selector.choose(candidates, {}, time_point{}).value_or(99)];
    }
    cr_assert(chosen[3] > 100 && chosen[3] < 300, "%d of 1000", chosen[3]);
}
