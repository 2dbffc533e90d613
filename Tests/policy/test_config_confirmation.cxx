#include "policy/config_confirmation.h"

#include <chrono>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};
const confirmation_options options{400ms, 1s};

} // namespace

// Guards against a process that starts on the older copy of a restored store and serves it although
// a peer has a newer configuration.
Test(config_confirmation, waits_for_the_newer_configuration_of_a_peer)
{
    config_confirmation check(start, options);
    cr_assert(!check.is_confirmed({4, 0, 0, 3}, start + 100ms));
    cr_assert(!check.is_confirmed({4, 11, 3, 3}, start + 200ms));
    cr_assert(!check.is_confirmed({4, 11, 3, 3}, start + 900ms));
    cr_assert(check.is_confirmed({11, 11, 3, 3}, start + 910ms));
    cr_assert(check.is_confirmed({11, 14, 3, 3}, start + 2s), "confirmed once");
}

// Guards against a process that never serves because its peers do not run or cannot be reached.
Test(config_confirmation, does_not_wait_for_peers_that_are_away)
{
    config_confirmation alone(start, options);
    cr_assert(!alone.is_confirmed({0, 0, 0, 0}, start + 2s), "no configuration");
    cr_assert(alone.is_confirmed({4, 0, 0, 0}, start + 2s));
    config_confirmation first(start, options);
    cr_assert(!first.is_confirmed({4, 4, 1, 3}, start + 300ms));
    cr_assert(first.is_confirmed({4, 4, 1, 3}, start + 400ms));
    config_confirmation unreachable(start, options);
    cr_assert(!unreachable.is_confirmed({4, 11, 3, 3}, start + 999ms));
    cr_assert(unreachable.is_confirmed({4, 11, 3, 3}, start + 1s));
}

// Guards against a start that is slower than needed when all peers are heard.
Test(config_confirmation, needs_no_wait_when_all_peers_agree)
{
    config_confirmation check(start, options);
    cr_assert(check.is_confirmed({4, 4, 3, 3}, start + 50ms));
}
