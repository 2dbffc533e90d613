#include "policy/peer_table.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

peer_heartbeat make_heartbeat(const std::string& name, std::uint64_t number,
                              std::uint64_t incarnation = 1)
{
    peer_heartbeat heartbeat;
    heartbeat.instance = name;
    heartbeat.number = number;
    heartbeat.incarnation = incarnation;
    heartbeat.running[5] = static_cast<unsigned>(number);
    return heartbeat;
}

const time_point start{100s};

} // namespace

// Guards against callers that are sent to a gateway that is gone, and against counting its running
// requests forever.
Test(peer_table, a_silent_peer_is_not_alive)
{
    peer_table table;
    table.on_tick(start);
    cr_assert(table.on_heartbeat(make_heartbeat("a", 1), start));
    cr_assert(!table.on_heartbeat(make_heartbeat("a", 3), start + 100ms));
    cr_assert(!table.on_heartbeat(make_heartbeat("a", 2), start + 200ms)); // delivered out of order
    cr_assert(table.running(start + 1s).at(5) == 3);
    cr_assert(table.alive_peers(start + 1s).size() == 1);
    cr_assert(table.alive_peers(start + 1200ms).empty());
    cr_assert(table.running(start + 1200ms).empty());
    cr_assert(table.on_heartbeat(make_heartbeat("a", 1, 2), start + 2s)); // restarted
}

// Guards against a gateway that treats all its peers as dead after its own process was stalled.
Test(peer_table, a_local_stall_does_not_make_peers_silent)
{
    peer_table table;
    table.on_tick(start);
    table.on_heartbeat(make_heartbeat("a", 1), start);
    table.on_tick(start + 4s);
    cr_assert(table.alive_peers(start + 4s).size() == 1);
    table.on_tick(start + 4100ms);
    cr_assert(table.alive_peers(start + 5500ms).empty());
}

// Guards against a gateway that takes over from one that it alone does not hear.
Test(peer_table, a_silent_peer_that_others_hear_is_reachable)
{
    peer_table table;
    table.on_tick(start);
    auto silent = make_heartbeat("a", 1);
    silent.beat_address = "10.0.0.1:1";
    table.on_heartbeat(silent, start);
    auto other = make_heartbeat("b", 1);
    table.on_heartbeat(other, start + 1500ms);
    cr_assert(table.reachable_peers(start + 1500ms).size() == 1);
    other.number = 2;
    other.live_addresses = {"10.0.0.1:1"};
    table.on_heartbeat(other, start + 1600ms);
    cr_assert(table.alive_peers(start + 1600ms).size() == 1);
    cr_assert(table.reachable_peers(start + 1600ms).size() == 2);
}

// Guards against limits of all gateways that are divided by too few of them: by those that are
// heard while others are cut off, and by none at the start of a process.
Test(peer_table, silent_and_listed_gateways_share_limits)
{
    peer_table table;
    table.on_tick(start);
    table.set_listed(5);
    cr_assert(table.sharing_gateways(start) == 6);
    table.on_heartbeat(make_heartbeat("a", 1), start + 5s);
    auto tick_until = [&table, now = start](time_point end) mutable {
        for (; now <= end; now += 300ms) {
            table.on_tick(now);
        }
    };
    tick_until(start + 29s);
    cr_assert(table.sharing_gateways(start + 29s) == 6);
    tick_until(start + 31s);
    cr_assert(table.sharing_gateways(start + 31s) == 2, "listed ones may be long gone");
    tick_until(start + 40s);
    cr_assert(table.sharing_gateways(start + 40s) == 1);
}
