#include "policy/upstream_registry.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

model::upstream_entry make_entry(const std::string& id, bool draining = false)
{
    model::upstream_entry entry;
    entry.id = id;
    entry.draining = draining;
    return entry;
}

const time_point start{100s};

} // namespace

// Guards against losing all upstreams of a service because their entries expire during an outage of
// the store.
Test(upstream_registry, keeps_entries_that_expire_around_an_outage)
{
    upstream_registry registry(2s);
    registry.on_entry(make_entry("a"));
    registry.on_entry(make_entry("b"));
    registry.on_store(false, start);
    registry.on_removed("a", start + 1s);
    registry.on_store(true, start + 5s);
    registry.on_removed("b", start + 5s);
    cr_assert(registry.upstreams().size() == 2);
    registry.on_entry(make_entry("a"));
    cr_assert(!registry.expire(start + 6s));
    cr_assert(registry.expire(start + 7s));
    cr_assert(registry.upstreams().size() == 1);
    cr_assert(registry.upstreams().front().id == "a");
}

// Guards against requests to an upstream that left without an outage, or that was draining before
// it left.
Test(upstream_registry, removes_upstreams_that_leave_at_once)
{
    upstream_registry registry(2s);
    registry.on_entry(make_entry("a"));
    registry.on_removed("a", start);
    cr_assert(registry.upstreams().empty());
    registry.on_entry(make_entry("b", true));
    registry.on_store(false, start);
    registry.on_removed("b", start);
    cr_assert(registry.upstreams().empty());
}
