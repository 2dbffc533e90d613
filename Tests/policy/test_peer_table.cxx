#include "policy/peer_table.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

peer_beat make_beat(const std::string& name, std::uint64_t number, std::uint64_t incarnation = 1)
{
    peer_beat beat;
    beat.instance = name;
    beat.number = number;
    beat.incarnation = incarnation;
    beat.running[5] = static_cast<unsigned>(number);
    return beat;
}

const time_point start{100s};

} // namespace

// Guards against callers that are sent to a gateway that is gone, and against its load for ever.
Test(peer_table, a_silent_peer_is_left_out)
{
    peer_table table;
    table.on_tick(start);
    cr_assert(table.on_beat(make_beat("a", 1), start));
    cr_assert(!table.on_beat(make_beat("a", 3), start + 100ms));
    cr_assert(!table.on_beat(make_beat("a", 2), start + 200ms)); // overtaken on the way
    cr_assert(table.running(start + 1s).at(5) == 3);
    cr_assert(table.alive(start + 1s).size() == 1);
    cr_assert(table.alive(start + 1200ms).empty());
    cr_assert(table.running(start + 1200ms).empty());
    cr_assert(table.on_beat(make_beat("a", 1, 2), start + 2s)); // restarted
}

// Guards against a gateway that wakes from a freeze and takes all others for dead.
Test(peer_table, an_own_standstill_proves_no_silence)
{
    peer_table table;
    table.on_tick(start);
    table.on_beat(make_beat("a", 1), start);
    table.on_tick(start + 4s);
    cr_assert(table.alive(start + 4s).size() == 1);
    table.on_tick(start + 4100ms);
    cr_assert(table.alive(start + 5500ms).empty());
}
