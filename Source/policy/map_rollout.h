#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "policy/rank_order.h"

namespace medlaryoke::policy {

struct rollout_options {
    /// Passes between the newest one known and the switch, so that all ranks are armed before it
    /// and the group never waits.
    std::uint64_t margin_steps = 2;
    /// More passes if orders of this rollout were left unanswered: each takes the time to give up
    /// and repeat it, in which the group must not reach the step.
    std::uint64_t trouble_margin_steps = 6;
    /// The switch is no earlier than this pass. Must lie beyond the passes that earlier rollouts
    /// with the same token held: while a group is idle its passes do not advance, and a late order
    /// that lifts an earlier hold must not lift this one.
    std::uint64_t least_step = 0;
    duration prepare_timeout = std::chrono::seconds(6); ///< for the copies
    duration verify_timeout = std::chrono::seconds(3);  ///< for the passes up to the switch
    /// A group may stand still for the rest of this time at the pass that is held.
    duration arm_timeout = std::chrono::milliseconds(900);
};

enum class rollout_phase {
    fence,    ///< every rank learns the token, so that orders of earlier coordinators are refused
    release,  ///< undoes what an earlier coordinator left armed or held
    prepare,  ///< ranks copy experts
    hold,     ///< one rank keeps the group from passing the step of the switch
    arm,      ///< all ranks will switch at that step
    go,       ///< lifts the hold
    verify,   ///< waits until all ranks use the map
    disarm,   ///< gives up: nobody may switch
    replace,  ///< gives up: makes the version unusable, as a late arm order may still arrive
    lift,     ///< gives up: lifts the hold
    done,     ///< all ranks use the map
    given_up, ///< all ranks use the map from before
    lost,     ///< fenced by another coordinator, or the group formed anew; nothing may be sent
};

/// @return name of a phase, for logs
std::string_view to_string(rollout_phase phase);

/// An order for one rank.
struct addressed_order {
    unsigned rank = 0;
    rank_order order;
};

/// One switch of all ranks of a lock-step group to another map at the same pass, for orders that
/// are lost, answered late, or carried out seconds later, and for coordinators that die or are
/// replaced. No pass begins with two maps: the pass of the switch is held until every rank has
/// confirmed that it is armed, or until no rank can be. Not thread safe.
class map_rollout {
public:
    /// @param ranks number of ranks
    /// @param epoch of the group; orders carry it
    /// @param target the map; its version was never used before, nor was the next one
    /// @param current the map in use, to which the group is brought back
    /// @param now the current time
    /// @param options times and margins
    map_rollout(unsigned ranks, std::uint64_t epoch, expert_map target, expert_map current,
                time_point now, rollout_options options = {});

    /// Takes the answer of a rank to an order, with its state after it.
    /// @param round value of round() when the order was sent; answers to earlier rounds confirm
    /// nothing, because their state may be older than what this round changed
    /// @param rank position in the group
    /// @param order what was sent; empty if only the state was asked for
    /// @param result how the order was answered
    /// @param report state of the rank; empty if it did not answer
    /// @param now the current time
    void on_reply(std::uint64_t round, unsigned rank, const std::optional<rank_order>& order,
                  order_result result, const std::optional<rank_report>& report, time_point now);

    /// Gives up a switch that takes too long.
    void on_time(time_point now);

    /// @return orders that are not yet confirmed; repeated until they are
    [[nodiscard]] std::vector<addressed_order> orders() const;

    /// @return ranks whose state decides and that get no order now
    [[nodiscard]] std::vector<unsigned> polls() const;

    /// @return number that grows with each phase
    [[nodiscard]] std::uint64_t round() const { return this->round_; }

    [[nodiscard]] rollout_phase phase() const { return this->phase_; }
    [[nodiscard]] std::uint64_t epoch() const { return this->epoch_; }
    [[nodiscard]] const expert_map& target() const { return this->target_; }

    /// @return pass of the switch as last chosen; 0 if none was
    [[nodiscard]] std::uint64_t step() const { return this->step_; }

    /// @return whether nothing more is sent
    [[nodiscard]] bool is_over() const { return this->phase_ >= rollout_phase::done; }

private:
    struct rank_view {
        std::optional<rank_report> report; ///< of this phase
        bool acknowledged = false;         ///< an order of this phase was answered
    };

    void enter(rollout_phase phase, time_point now);
    void advance(time_point now);
    void after_fence(time_point now);
    void give_up(time_point now);
    void choose_step(time_point now);
    void on_conflict(unsigned rank, const rank_order& order, time_point now);
    [[nodiscard]] bool any_armed() const;
    [[nodiscard]] bool is_confirmed(unsigned rank) const;
    [[nodiscard]] std::optional<rank_order> order_for(unsigned rank) const;

    rollout_options options_;
    std::uint64_t epoch_;
    expert_map target_;
    expert_map fallback_; ///< content of the current map under the version after the target
    std::vector<rank_view> ranks_;
    rollout_phase phase_ = rollout_phase::fence;
    time_point phase_started_;
    time_point held_since_{};
    std::uint64_t step_ = 0;        ///< of the switch
    std::uint64_t newest_step_ = 0; ///< known of any rank
    std::uint64_t round_ = 0;
    unsigned unanswered_ = 0;     ///< orders
    bool finishes_stale_ = false; ///< an earlier coordinator had armed all ranks
};

} // namespace medlaryoke::policy
