#include "policy/store_contact.h"

#include <chrono>
#include <optional>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

using reports = std::vector<std::optional<store_report>>;

/// A gateway that got its last answer at `start`, noticed a failure 4 s later and has had answers
/// again since `start` + 6 s.
store_contact make_recovered()
{
    store_contact contact;
    contact.on_answer(start - 10s);
    contact.on_answer(start);
    contact.on_failure(start + 4s);
    contact.on_failure(start + 5s);
    contact.on_answer(start + 6s);
    return contact;
}

} // namespace

// Guards against an upstream that is kept in use after it has left, by a gateway that was cut off
// while the store worked.
Test(store_contact, store_that_answered_a_peer_was_not_away)
{
    const auto contact = make_recovered();
    const store_report peer{start - 20s, start + 3s, false};
    cr_assert(contact.judge(reports{peer}, 1, start + 6s) == outage_cause::own_path);
    // The store serves some and turns others away.
    cr_assert(contact.judge(reports{std::nullopt, peer}, 2, start + 6s) == outage_cause::own_path);
}

// Guards against the loss of all upstreams after an outage of the store, which peers noticed too or
// have not noticed yet.
Test(store_contact, store_that_answered_nobody_was_away)
{
    const auto contact = make_recovered();
    cr_assert(contact.judge(reports{std::nullopt}, 1, start + 6s) == outage_cause::store);
    const store_report recovered{start + 6s, start + 6s, true};
    cr_assert(contact.judge(reports{recovered}, 1, start + 6s) == outage_cause::store);
    const store_report waiting{start - 20s, start + 100ms, false};
    cr_assert(contact.judge(reports{waiting}, 1, start + 6s) == outage_cause::undecided);
    const store_report started{start + 5s, start + 6s, false};
    cr_assert(contact.judge(reports{started}, 1, start + 6s) == outage_cause::undecided);
}

// Guards against a gateway that hears none of its peers and goes on using what it cannot verify.
Test(store_contact, gateway_without_its_peers_takes_its_own_path_for_the_cause)
{
    const auto contact = make_recovered();
    cr_assert(contact.judge({}, 3, start + 6500ms) == outage_cause::undecided);
    cr_assert(contact.judge({}, 3, start + 7s) == outage_cause::own_path);
    cr_assert(contact.judge({}, 0, start + 60s) == outage_cause::undecided, "there are no peers");
}

// Guards against a verdict where there is nothing to judge.
Test(store_contact, no_verdict_without_an_outage)
{
    store_contact contact;
    const store_report peer{start - 20s, start + 3s, false};
    cr_assert(!contact.report());
    cr_assert(contact.judge(reports{peer}, 1, start) == outage_cause::undecided);
    contact.on_answer(start);
    cr_assert(contact.report() && !contact.report()->had_failure);
    contact.on_failure(start + 1s);
    cr_assert(!contact.report());
    cr_assert(contact.judge(reports{peer}, 1, start + 9s) == outage_cause::undecided);
}
