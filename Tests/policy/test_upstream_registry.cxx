#include "policy/upstream_registry.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

model::upstream_entry make_entry(const std::string& id, bool draining = false,
                                 std::int64_t started_at = 1)
{
    model::upstream_entry entry;
    entry.id = id;
    entry.started_at = started_at;
    entry.draining = draining;
    return entry;
}

const time_point start{100s};
const registry_options options{2s, 3s, 60s};

} // namespace

// Guards against losing all upstreams of a service because their entries expire during an outage of
// the store.
Test(upstream_registry, keeps_entries_that_expire_around_an_outage)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a"), change_origin::log, start);
    registry.on_entry(make_entry("b"), change_origin::log, start);
    registry.on_store(false, start);
    registry.on_removed("a", start + 1s);
    registry.on_store(true, start + 5s);
    registry.on_removed("b", start + 5s);
    cr_assert(registry.upstreams().size() == 2);
    registry.on_entry(make_entry("a"), change_origin::log, start);
    cr_assert(!registry.expire(start + 6s));
    cr_assert(registry.expire(start + 7s));
    cr_assert(registry.upstreams().size() == 1);
    cr_assert(registry.upstreams().front().id == "a");
}

// Guards against requests to an upstream that left without an outage, or that was draining before
// it left.
Test(upstream_registry, removes_upstreams_that_leave_at_once)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a"), change_origin::log, start);
    registry.on_removed("a", start);
    cr_assert(registry.upstreams().empty());
    registry.on_entry(make_entry("b", true), change_origin::log, start);
    registry.on_store(false, start);
    registry.on_removed("b", start);
    cr_assert(registry.upstreams().empty());
}

// Guards against requests to an upstream that is draining, because the copy from which the store
// was restored lists it as ready. Its next incarnation is ready.
Test(upstream_registry, copy_does_not_undo_draining)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a", true), change_origin::log, start);
    registry.on_restored(start + 1s);
    registry.on_entry(make_entry("a"), change_origin::restored_copy, start + 1s);
    cr_assert(registry.upstreams().front().draining);
    registry.expire(start + 20s);
    cr_assert(registry.upstreams().front().draining);
    registry.on_entry(make_entry("a", false, 2), change_origin::restored_copy, start + 21s);
    cr_assert(!registry.upstreams().front().draining);
}

// Guards against requests to an upstream that had left, because the copy still lists it, and
// against one that stays unused although the store goes on listing it.
Test(upstream_registry, copy_brings_back_only_upstreams_that_run)
{
    upstream_registry registry(options);
    for (const auto* id : {"gone", "returns", "renewed"}) {
        registry.on_entry(make_entry(id), change_origin::log, start);
        registry.on_removed(id, start);
    }
    registry.on_restored(start + 10s);
    for (const auto* id : {"gone", "returns", "renewed"}) {
        registry.on_entry(make_entry(id), change_origin::restored_copy, start + 10s);
    }
    cr_assert(registry.upstreams().empty());
    registry.on_entry(make_entry("renewed"), change_origin::log, start + 11s);
    cr_assert(registry.upstreams().size() == 1);
    registry.on_removed("gone", start + 11s);
    cr_assert(!registry.expire(start + 14s));
    cr_assert(registry.expire(start + 15s));
    const auto upstreams = registry.upstreams();
    cr_assert(upstreams.size() == 2);
    cr_assert(upstreams[0].id == "renewed" && upstreams[1].id == "returns");
}

// Guards against the loss of upstreams that registered after the copy was taken, and of the newer
// incarnation of one that the copy lists.
Test(upstream_registry, upstreams_newer_than_the_copy_stay_in_use)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a", false, 7), change_origin::log, start);
    registry.on_entry(make_entry("b", false, 7), change_origin::log, start);
    registry.on_restored(start + 1s);
    registry.on_entry(make_entry("a", false, 5), change_origin::restored_copy, start + 1s);
    registry.on_removed("b", start + 1s);
    cr_assert(registry.upstreams().size() == 2);
    cr_assert(registry.upstreams().front().started_at == 7);
    registry.on_entry(make_entry("b", false, 7), change_origin::log, start + 2s);
    cr_assert(registry.expire(start + 3s));
    cr_assert(registry.upstreams().size() == 1);
    cr_assert(registry.upstreams().front().id == "b");
}

// Guards against a departure that is remembered for good and keeps an upstream unused in a later
// restore.
Test(upstream_registry, forgets_departures)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a"), change_origin::log, start);
    registry.on_removed("a", start);
    registry.expire(start + 61s);
    registry.on_entry(make_entry("a"), change_origin::restored_copy, start + 62s);
    cr_assert(registry.upstreams().size() == 1);
}

// Guards against an upstream that is kept after it has left because the own path to the store, and
// not the store, had failed around its removal.
Test(upstream_registry, removals_around_an_own_outage_take_effect_at_once)
{
    upstream_registry registry(options);
    registry.on_entry(make_entry("a"), change_origin::log, start);
    registry.on_entry(make_entry("b"), change_origin::log, start);
    registry.on_store(false, start);
    cr_assert(!registry.is_recovering(start));
    registry.on_store(true, start + 5s);
    registry.on_removed("a", start + 5s);
    cr_assert(registry.is_recovering(start + 5s) && registry.upstreams().size() == 2);
    registry.on_own_outage();
    cr_assert(registry.expire(start + 5s) && registry.upstreams().size() == 1);
    registry.on_removed("b", start + 5s);
    cr_assert(registry.upstreams().empty());
}
