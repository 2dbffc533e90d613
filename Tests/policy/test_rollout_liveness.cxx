#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "policy/map_rollout.h"
#include "policy/rank_group_model.h"
#include "policy/rollout_run.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr unsigned rank_count = 3;

// A switch without faults takes 4 orders to each rank and 2 to the holding rank, a withdrawal
// 2 to each rank and 1 to the holding rank; two switches follow each other.
constexpr unsigned faulty_orders = 36;

// The longest time for which the platform may execute an order late.
constexpr auto max_lateness = 12s;

// Time for all phases of a takeover and a withdrawal whose orders are executed at once.
constexpr auto settling_time = 4s;

const std::vector<order_fault>& fault_kinds()
{
    static const std::vector<order_fault> kinds{
        {0, order_fault_kind::lost, {}},     {0, order_fault_kind::unanswered, {}},
        {0, order_fault_kind::late, 100ms},  {0, order_fault_kind::late, 350ms},
        {0, order_fault_kind::late, 800ms},  {0, order_fault_kind::late, 2000ms},
        {0, order_fault_kind::late, 4500ms}, {0, order_fault_kind::late, max_lateness},
    };
    return kinds;
}

order_fault fault_of(unsigned order, const order_fault& kind)
{
    return {order, kind.kind, kind.delay};
}

duration longest_delay(const run_faults& faults)
{
    duration longest{};
    for (const auto& it : faults.orders) {
        longest = std::max(longest, it.delay);
    }
    return longest;
}

/// Plays one run to its end.
/// @param hold_limit longest time for which the group may be held
/// @return null, or what is wrong
const char* play(bool checks_tokens, const run_faults& faults, duration hold_limit = settling_time)
{
    rollout_run run(rank_count, checks_tokens, faults);
    run.run(longest_delay(faults) + faults.crash_at.value_or(0s) + 2 * settling_time);
    if (!run.maps_agreed()) {
        return "a step began with two maps";
    }
    if (!run.is_settled()) {
        return "the group stays held, or a rollout has no end";
    }
    if (run.longest_hold() > hold_limit) {
        return "the group was held too long";
    }
    return nullptr;
}

} // namespace

// Guards against a group that stays held for ever: a rank that a late order armed again, while the
// coordinator withdrew the switch, refused the map that replaces it, and nothing was sent any more.
Test(rollout_liveness, a_rank_that_is_armed_late_is_disarmed_again)
{
    rank_group_model group(rank_count);
    time_point now{100s};
    map_rollout rollout(rank_count, group.epoch, {1000, {}}, {}, now);
    const auto exchange = [&](bool withholds_arms) {
        for (const auto& it : rollout.pending_orders()) {
            if (withholds_arms && it.rank == 2 && std::holds_alternative<arm_order>(it.order)) {
                continue; // executed late
            }
            const auto result = group.handle_order(it.rank, 1, group.epoch, it.order);
            rollout.on_reply(rollout.round(), it.rank, it.order, result, group.report(it.rank),
                             now);
        }
        for (const auto rank : rollout.ranks_to_poll()) {
            rollout.on_reply(rollout.round(), rank, std::nullopt, order_result::done,
                             group.report(rank), now);
        }
        rollout.check_timeouts(now);
        now += 20ms;
    };
    while (rollout.phase() != rollout_phase::arm) {
        exchange(true);
    }
    const arm_order late_arm{1000, rollout.step()};
    while (rollout.phase() == rollout_phase::arm) {
        exchange(true); // until the limit for arming
    }
    // The rank has been disarmed, and then the late order is executed.
    const auto result = group.handle_order(2, 1, group.epoch, disarm_order{1000});
    rollout.on_reply(rollout.round(), 2, disarm_order{1000}, result, group.report(2), now);
    group.handle_order(2, 1, group.epoch, late_arm);
    for (int n = 0; n < 200 && !rollout.is_over(); ++n) {
        exchange(false);
        cr_assert(group.begin_step());
    }
    cr_assert(rollout.phase() == rollout_phase::given_up);
    cr_assert(group.held_steps == 0);
}

// Guards against a coordinator that chooses one step after the other for ever, because a late order
// of its last switch holds the rank that should hold the next one.
Test(rollout_liveness, a_late_hold_of_the_last_switch_is_lifted)
{
    rank_group_model group(rank_count);
    time_point now{100s};
    group.handle_order(0, 1, group.epoch, hold_order{14});
    rollout_options options;
    options.min_switch_step = 15;
    map_rollout rollout(rank_count, group.epoch, {1000, {}}, {}, now, options);
    // The late hold order arrives after the survey of the ranks.
    group.handle_order(0, 1, group.epoch, release_hold_order{14});
    for (int n = 0; n < 2000 && !rollout.is_over(); ++n, now += 20ms) {
        if (rollout.phase() == rollout_phase::hold && group.step < 14) {
            group.handle_order(0, 1, group.epoch, hold_order{14});
        }
        for (const auto& it : rollout.pending_orders()) {
            const auto result = group.handle_order(it.rank, 1, group.epoch, it.order);
            rollout.on_reply(rollout.round(), it.rank, it.order, result, group.report(it.rank),
                             now);
        }
        for (const auto rank : rollout.ranks_to_poll()) {
            rollout.on_reply(rollout.round(), rank, std::nullopt, order_result::done,
                             group.report(rank), now);
        }
        rollout.check_timeouts(now);
        if (n % 3 == 0) {
            cr_assert(group.begin_step());
        }
    }
    cr_assert(rollout.is_over());
    cr_assert(group.held_steps < 10, "held for %u steps", group.held_steps);
}

// Guards against a step with two maps, a group that stays held and a rollout without an end: every
// single fault and every pair of faults of the first orders of two switches.
Test(rollout_liveness, every_pair_of_order_faults_ends_with_the_group_running)
{
    unsigned runs = 0;
    for (const bool checks_tokens : {true, false}) {
        for (unsigned first = 0; first < faulty_orders; ++first) {
            for (unsigned second = first; second < faulty_orders; ++second) {
                for (const auto& one : fault_kinds()) {
                    for (const auto& other : fault_kinds()) {
                        run_faults faults;
                        faults.orders = {fault_of(first, one)};
                        if (second != first) {
                            faults.orders.push_back(fault_of(second, other));
                        }
                        const auto* problem = play(checks_tokens, faults);
                        cr_assert(!problem, "%s: tokens %d, order %u kind %d, order %u kind %d",
                                  problem, checks_tokens, first,
                                  static_cast<int>(&one - fault_kinds().data()), second,
                                  static_cast<int>(&other - fault_kinds().data()));
                        ++runs;
                        if (second == first) {
                            break;
                        }
                    }
                }
            }
        }
    }
    cr_assert(runs > 50'000, "%u", runs);
}

// Guards against the same when the coordinator is killed, or frozen until its successor is at work,
// at any moment of a switch, with one fault of an order.
Test(rollout_liveness, a_coordinator_that_stops_at_any_moment_leaves_a_running_group)
{
    for (const bool checks_tokens : {true, false}) {
        for (const bool is_freeze : {false, true}) {
            for (auto crash_at = 0ms; crash_at < 1200ms; crash_at += 20ms) {
                for (unsigned order = 0; order < faulty_orders; ++order) {
                    for (const auto& kind : fault_kinds()) {
                        run_faults faults;
                        faults.orders = {fault_of(order, kind)};
                        faults.crash_at = crash_at;
                        faults.crash_is_freeze = is_freeze;
                        const auto* problem = play(checks_tokens, faults);
                        cr_assert(!problem,
                                  "%s: tokens %d, freeze %d, crash %lld ms, order %u kind %d",
                                  problem, checks_tokens, is_freeze,
                                  static_cast<long long>(crash_at.count()), order,
                                  static_cast<int>(&kind - fault_kinds().data()));
                    }
                }
            }
        }
    }
}

// Guards against the same beyond pairs: many faults at random, with a coordinator that may be
// killed or frozen and a group that may be idle.
Test(rollout_liveness, random_faults_end_with_the_group_running)
{
    for (unsigned seed = 0; seed < 20'000; ++seed) {
        std::mt19937 random(seed);
        run_faults faults;
        const auto share = random() % 50 + 5;
        for (unsigned order = 0; order < 3 * faulty_orders; ++order) {
            if (random() % 100 < share) {
                auto fault = fault_of(order, fault_kinds()[random() % fault_kinds().size()]);
                if (fault.kind == order_fault_kind::late) {
                    fault.delay = std::chrono::milliseconds(random() % 12'000);
                }
                faults.orders.push_back(fault);
            }
        }
        if (random() % 2 == 0) {
            faults.crash_at = std::chrono::milliseconds(random() % 3000);
            faults.crash_is_freeze = random() % 2 == 0;
            faults.takeover_time = std::chrono::milliseconds(random() % 3000 + 200);
        }
        if (random() % 4 == 0) {
            faults.idle_at = std::chrono::milliseconds(random() % 3000);
        }
        // Of many late orders in a row, the last one may be the one that lifts the hold.
        const auto* problem =
            play(random() % 2 == 0, faults, max_lateness + faults.takeover_time + settling_time);
        cr_assert(!problem, "%s: seed %u", problem, seed);
    }
}

namespace {

/// A group whose coordinator died between arming the last rank and lifting the hold. The engines do
/// not check tokens, so its late orders are executed.
struct armed_and_held_group {
    armed_and_held_group()
    {
        for (unsigned rank = 0; rank < rank_count; ++rank) {
            this->group.handle_order(rank, 1, 1, prepare_order{{1000, {}}});
            this->group.handle_order(rank, 1, 1, arm_order{1000, 14});
        }
        this->group.handle_order(1, 1, 1, hold_order{14});
        rollout_options options;
        options.holding_rank = 2;
        options.engines_check_tokens = false;
        this->rollout = std::make_unique<map_rollout>(rank_count, 1, expert_map{2000, {}},
                                                      expert_map{}, this->now, options);
    }

    /// Sends the orders of the successor one at a time, and begins a step after each.
    /// @param between called after each order
    /// @return whether each step began with one map
    bool run(const std::function<void()>& between)
    {
        bool maps_agree = true;
        for (int n = 0; n < 100 && !this->rollout->is_over(); ++n, this->now += 20ms) {
            for (const auto& it : this->rollout->pending_orders()) {
                const auto round = this->rollout->round();
                const auto result = this->group.handle_order(it.rank, 2, 1, it.order);
                between();
                maps_agree = this->group.begin_step() && maps_agree;
                this->rollout->on_reply(round, it.rank, it.order, result,
                                        this->group.report(it.rank), this->now);
            }
            for (const auto rank : this->rollout->ranks_to_poll()) {
                this->rollout->on_reply(this->rollout->round(), rank, std::nullopt,
                                        order_result::done, this->group.report(rank), this->now);
            }
            this->rollout->check_timeouts(this->now);
        }
        return maps_agree;
    }

    rank_group_model group{rank_count, false};
    time_point now{100s};
    std::unique_ptr<map_rollout> rollout;
};

} // namespace

// Guards against a step with two maps: the order of a dead coordinator to lift its hold was
// executed late, while its successor had disarmed some ranks.
Test(rollout_liveness, a_late_go_does_not_release_a_half_withdrawn_group)
{
    armed_and_held_group it;
    const bool maps_agree = it.run([&it] {
        const auto armed = std::ranges::count_if(
            it.group.ranks, [](const auto& rank) { return rank.armed.has_value(); });
        if (armed == 2) {
            it.group.handle_order(1, 1, 1, release_hold_order{14});
        }
    });
    cr_assert(maps_agree);
    cr_assert(it.rollout->phase() == rollout_phase::given_up && it.group.held_steps == 0);
}

// Guards against a step with two maps: a successor completed the switch of a coordinator that had
// begun to withdraw it, and a disarm order of that was executed late.
Test(rollout_liveness, a_late_disarm_does_not_split_a_completed_switch)
{
    armed_and_held_group it;
    const bool maps_agree = it.run([&it] {
        if (std::ranges::none_of(it.group.ranks,
                                 [](const auto& rank) { return rank.held.has_value(); })) {
            it.group.handle_order(0, 1, 1, disarm_order{1000});
        }
    });
    cr_assert(maps_agree);
    cr_assert(it.rollout->phase() == rollout_phase::given_up && it.group.held_steps == 0);
}
