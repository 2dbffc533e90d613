#include "policy/map_switch.h"

#include <deque>
#include <random>
#include <unordered_set>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "policy/map_switch_model.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using medlaryoke::tests::map_switch_model;

namespace {

constexpr std::size_t max_expanded_states = 60'000;

} // namespace

// Guards against two ranks that run the same step with different maps. The bounded breadth-first
// search covers reordered, repeated and lost messages, a restart and two coordinators.
Test(map_switch, search_finds_no_step_with_two_maps, .timeout = 110)
{
    std::deque<map_switch_model> unexplored{map_switch_model({.restarts = 1, .steps = 3})};
    std::unordered_set<digest128> seen{hash128(unexplored.front().fingerprint())};
    std::size_t expanded = 0;
    while (!unexplored.empty() && expanded < max_expanded_states) {
        const auto state = std::move(unexplored.front());
        unexplored.pop_front();
        ++expanded;
        for (auto& next : state.successors(true)) {
            cr_assert(next.violation().empty(), "%s", next.violation().c_str());
            if (seen.insert(hash128(next.fingerprint())).second) {
                unexplored.push_back(std::move(next));
            }
        }
    }
    cr_log_info("%zu states expanded, %zu left", expanded, unexplored.size());
}

// Guards against two maps in one step after long sequences of actions that the breadth-first search
// does not reach, and against states from which the group can never run again.
Test(map_switch, random_walks_stay_consistent_and_recover, .timeout = 110)
{
    std::mt19937 random(41);
    unsigned switched = 0;
    for (int walk = 0; walk < 1500; ++walk) {
        map_switch_model state({.restarts = 2, .steps = 12});
        for (int n = 0; n < 120; ++n) {
            auto next = state.successors(random() % 8 == 0);
            if (next.empty()) {
                next = state.successors(true);
            }
            state = std::move(next[random() % next.size()]);
            cr_assert(state.violation().empty(), "walk %d: %s", walk, state.violation().c_str());
        }
        const auto versions = state.active_versions();
        switched += versions.front() > 1 || versions.back() > 1 ? 1 : 0;
        cr_assert(state.recovers(), "walk %d cannot recover: %s", walk,
                  state.fingerprint().c_str());
    }
    cr_assert_gt(switched, 100U, "only %u walks completed a switch", switched);
}

namespace {

/// Running ranks whose messages are all delivered.
struct group {
    std::vector<rank_gate> gates;

    explicit group(unsigned ranks)
    {
        rank_status running;
        running.active_version = 1;
        running.next_step = 10;
        running.completed_step = 9;
        for (unsigned n = 0; n < ranks; ++n) {
            running.incarnation = n + 1;
            this->gates.emplace_back(running.incarnation).refresh(running);
        }
    }

    void run_step()
    {
        const auto step = this->gates.front().status().next_step;
        if (!std::ranges::all_of(this->gates, &rank_gate::may_start)) {
            return;
        }
        for (auto& gate : this->gates) {
            gate.start_step();
        }
        for (auto& gate : this->gates) {
            gate.complete_step(step);
        }
    }

    /// Delivers the commands of a coordinator, loads weights at once and returns the statuses.
    void deliver_commands(map_switch& coordinator)
    {
        for (const auto& it : coordinator.commands()) {
            auto& gate = this->gates[it.rank];
            gate.handle(it.sender, it.incarnation, it.command);
            gate.complete_loading(gate.loading_version());
            coordinator.on_status(it.rank, gate.handle(it.sender, it.incarnation, it.command));
        }
    }
};

} // namespace

// Guards against a switch that never completes or leaves ranks held in a large group without
// faults.
Test(map_switch, switches_a_group_of_32_ranks)
{
    using namespace std::chrono_literals;
    group ranks(32);
    map_switch coordinator(32, {7, 0, 1}, 5, 1s, {});
    for (int n = 0; n < 20 && coordinator.phase() != switch_phase::done; ++n) {
        ranks.run_step();
        ranks.deliver_commands(coordinator);
    }
    cr_assert(coordinator.phase() == switch_phase::done);
    cr_assert(std::ranges::all_of(
        ranks.gates, [](const rank_gate& it) { return it.status().active_version == 5; }));
    cr_assert(ranks.gates.front().may_start());
}

// Guards against a group that stays held because ranks never load the weights of a new map.
Test(map_switch, aborts_when_a_rank_does_not_load)
{
    using namespace std::chrono_literals;
    group ranks(4);
    map_switch coordinator(4, {7, 0, 1}, 5, 1s, {});
    ranks.deliver_commands(coordinator); // query
    for (const auto& it : coordinator.commands()) {
        coordinator.on_status(it.rank,
                              ranks.gates[it.rank].handle(it.sender, it.incarnation, it.command));
    }
    cr_assert(coordinator.phase() == switch_phase::prepare);
    coordinator.check_timeouts(time_point{} + 2s);
    cr_assert(coordinator.phase() == switch_phase::abort);
    ranks.deliver_commands(coordinator);
    cr_assert(coordinator.phase() == switch_phase::done);
    cr_assert(ranks.gates.front().may_start());
    cr_assert(ranks.gates.front().status().active_version == 1);
}

namespace {

/// Two ranks that were held for a switch whose coordinator was superseded when it had decided to
/// activate the map.
struct superseded_switch {
    group ranks{2};
    std::vector<rank_command> sent; ///< all commands of the superseded coordinator

    superseded_switch()
    {
        using namespace std::chrono_literals;
        map_switch first(2, {1, 0, 1}, 5, 1s, {});
        while (first.phase() != switch_phase::activate) {
            const auto commands = first.commands();
            this->sent.insert(this->sent.end(), commands.begin(), commands.end());
            this->ranks.deliver_commands(first);
            this->ranks.run_step();
        }
        const auto commands = first.commands();
        this->sent.insert(this->sent.end(), commands.begin(), commands.end());
        map_switch second(2, {2, 0, 2}, 0, 1s, {});
        this->ranks.deliver_commands(second);
        this->ranks.deliver_commands(second);
        cr_assert(second.phase() == switch_phase::done);
    }

    void repeat_sent_to(unsigned rank)
    {
        for (const auto& it : this->sent) {
            if (it.rank == rank) {
                this->ranks.gates[rank].handle(it.sender, it.incarnation, it.command);
                this->ranks.gates[rank].complete_loading(this->ranks.gates[rank].loading_version());
            }
        }
    }
};

} // namespace

// Guards against late commands of a superseded coordinator that switch only one rank.
Test(map_switch, late_commands_of_a_lower_ballot_are_refused)
{
    superseded_switch it;
    it.repeat_sent_to(0);
    cr_assert(it.ranks.gates[0].status().active_version == 1);
}

// Guards against late commands that a restarted rank executes, because a restart resets the
// promised ballot.
Test(map_switch, commands_for_an_earlier_incarnation_are_refused)
{
    superseded_switch it;
    it.ranks.gates[0] = rank_gate(100);
    it.repeat_sent_to(0);
    cr_assert(it.ranks.gates[0].status().active_version == 0);
    cr_assert_not(it.ranks.gates[0].may_start());
}
