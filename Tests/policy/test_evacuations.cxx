#include "policy/evacuations.h"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "policy/upstream_scheduler.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

using names = std::vector<std::string>;

} // namespace

// Guards against an evacuation that is not in force, or stays in force after it was taken back.
Test(evacuations, follow_the_records_of_the_store)
{
    evacuations state;
    state.on_record("dc-2", true, change_origin::log, start);
    state.on_record("dc-1", true, change_origin::log, start);
    cr_assert(state.data_centres() == names({"dc-1", "dc-2"}));
    state.on_record("dc-2", false, change_origin::log, start);
    state.on_record("dc-3", false, change_origin::log, start);
    cr_assert(state.data_centres() == names({"dc-1"}));
}

// Guards against an evacuation that ends because the store was restored from an older copy.
Test(evacuations, stay_in_force_until_the_operator_writes_them_again)
{
    evacuations state;
    state.on_record("dc-1", true, change_origin::log, start);
    state.on_record("dc-2", true, change_origin::log, start);
    state.on_record("dc-1", false, change_origin::restored_copy, start);
    state.on_record("dc-2", false, change_origin::restored_copy, start);
    state.expire(start + 14s);
    cr_assert(state.data_centres() == names({"dc-1", "dc-2"}));
    state.on_record("dc-1", true, change_origin::log, start + 14s);
    state.expire(start + 15s);
    cr_assert(state.data_centres() == names({"dc-1"}));
}

// Guards against a gateway that cannot reach the store and misses an evacuation that its peers
// know, and against a peer that is behind.
Test(evacuations, are_learned_from_a_peer_that_has_read_further)
{
    evacuations state;
    state.on_record("dc-1", true, change_origin::log, start);
    state.set_position({1, 5});
    state.on_peer({1, 4}, {});
    cr_assert(state.data_centres() == names({"dc-1"}));
    state.on_peer({1, 6}, {"dc-2"});
    cr_assert(state.data_centres() == names({"dc-2"}));
    cr_assert(state.position() == log_position({1, 6}));
    // A peer that has read a restored copy may lack what was written since.
    state.on_peer({2, 1}, {"dc-3"});
    cr_assert(state.data_centres() == names({"dc-2", "dc-3"}));
    state.set_position({2, 1});
    cr_assert(state.data_centres() == names({"dc-1"}));
}

// Guards against requests to an evacuated upstream, and against requests that are held although all
// data centres are evacuated. Load: an operator evacuates one data centre, then all.
Test(evacuations, evacuated_upstreams_get_nothing)
{
    upstream_scheduler scheduler({}, 1);
    std::vector<model::upstream_entry> entries(2);
    for (std::size_t n = 0; n < entries.size(); ++n) {
        entries[n].id = "u" + std::to_string(n);
        entries[n].slots = 8;
    }
    entries[0].evacuated = true;
    scheduler.set_upstreams(entries, "dc-1");
    scheduled_request request;
    request.wait_until = start + 10s;
    for (request.id = 1; request.id <= 4; ++request.id) {
        scheduler.push(request);
    }
    for (const auto& it : scheduler.take_ready(start)) {
        cr_assert(it.upstream == hash64("u1"));
    }
    entries[1].evacuated = true;
    scheduler.set_upstreams(entries, "dc-1");
    cr_assert(scheduler.running() == 4, "what runs ends in its own time");
    request.id = 9;
    scheduler.push(request);
    cr_assert(scheduler.take_ready(start).empty());
    cr_assert(scheduler.take_expired(start) == std::vector<std::uint64_t>{9});
}
