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
