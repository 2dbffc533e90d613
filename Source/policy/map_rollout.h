#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "policy/rank_order.h"

namespace medlaryoke::policy {

struct rollout_options {
    /// Steps between the highest known step and the step of the switch. They give all ranks time
    /// to be armed before the group reaches the held step, so that it does not pause.
    std::uint64_t switch_margin_steps = 2;
    /// Further steps if orders of this rollout were not answered. Each unanswered order costs a
    /// timeout and a retry, during which the group must not reach the step of the switch.
    std::uint64_t retry_margin_steps = 6;
    /// Highest number of further steps that the measured latency of orders may add.
    std::uint64_t max_latency_margin_steps = 40;
    /// Lowest step at which the switch may take place. Must be higher than every step that an
    /// earlier rollout with the same token held: an idle group does not advance, and a delayed
    /// order that lifts an earlier hold must not lift the hold of this rollout.
    std::uint64_t min_switch_step = 0;
    /// Rank that holds the group for this coordinator. Two coordinators within the time that an
    /// order may be late must use different ranks, so that a late order that lifts the hold of one
    /// does not lift the hold of the other. The fencing token modulo the number of ranks does.
    unsigned holding_rank = 0;
    /// Whether engines refuse the orders of earlier coordinators, also late ones. If they do not, a
    /// switch that an earlier coordinator left held is always withdrawn, never completed.
    bool engines_check_tokens = true;
    /// Whether this coordinator has already surveyed the group in this epoch, with the same token,
    /// and finished every rollout since. The fence phase is then left out.
    bool is_surveyed = false;
    /// Step of a hold order of an earlier rollout of this coordinator that the holding rank has
    /// executed late. The rollout only lifts it. Requires is_surveyed.
    std::optional<std::uint64_t> own_late_hold;
    /// Number of times that a step is chosen, or a group surveyed, before the rollout gives up.
    unsigned max_attempts = 6;
    duration prepare_timeout = std::chrono::seconds(6); ///< limit for each phase up to hold
    duration verify_timeout = std::chrono::seconds(3);  ///< limit for reaching the switch step
    /// Limit for reaching the switch step while another coordinator's hold stops the group.
    duration foreign_hold_timeout = std::chrono::milliseconds(300);
    /// Limit for arming all ranks. The group pauses for the rest of this time if it reaches the
    /// held step before all ranks are armed.
    duration arm_timeout = std::chrono::milliseconds(900);
};

enum class rollout_phase {
    fence,    ///< every rank learns the token and reports what an earlier coordinator left
    complete, ///< lifts the holds of an earlier switch for which every rank is armed
    seize,    ///< this coordinator holds the step at which an earlier coordinator held the group
    prepare,  ///< all ranks copy the experts that are new to them
    hold,     ///< one rank blocks the step of the switch
    arm,      ///< all ranks are told to switch at that step
    go,       ///< lifts the hold
    verify,   ///< waits until all ranks use the map
    withdraw, ///< every rank is disarmed and prepares a newer version, so that a late arm order is
              ///< refused
    lift,     ///< lifts the holds after a withdrawal
    done,     ///< all ranks use the map
    given_up, ///< ended without a switch to the target map
    lost,     ///< fenced by another coordinator, or the group has a new epoch; sends nothing
};

/// @return name of a phase as it appears in logs
std::string_view to_string(rollout_phase phase);

/// An order and the rank that must execute it.
struct addressed_order {
    unsigned rank = 0;
    rank_order order;
};

/// What the ranks of a group, all polled while no rollout runs, show about earlier rollouts.
enum class group_condition {
    clear,             ///< no rank is armed or holds a step
    switch_pending,    ///< every rank is armed for one map; the group switches when it runs
    own_late_hold,     ///< only the holding rank of this coordinator holds a step, by a late order
    unfinished_switch, ///< some ranks are armed or hold a step; a rollout must clear this
};

/// @param reports of all ranks, by rank
/// @param holding_rank rank that holds the group for this coordinator
/// @param is_surveyed see rollout_options
/// @return the condition of the group
group_condition assess_group(const std::vector<rank_report>& reports, unsigned holding_rank,
                             bool is_surveyed);

/// State machine of a coordinator that switches all ranks of a lock-step group to another expert
/// map at the same step. Tolerates orders that are lost, answered late or executed seconds later,
/// and coordinators that crash or are replaced. No step ever runs with two maps: the step of the
/// switch is held until every rank has confirmed that it is armed, or until no rank can be armed
/// any more. Every phase ends as soon as each rank has executed one order that it is sent again
/// and again, so a group is held no longer than an order can be late. Not thread safe.
class map_rollout {
public:
    /// @param ranks number of ranks
    /// @param epoch epoch of the group; sent with every order
    /// @param target the map to switch to; its version and the next one must never have been used
    /// @param current the map in use, which is kept if the rollout fails
    /// @param now the current time
    /// @param options timeouts and step margins
    map_rollout(unsigned ranks, std::uint64_t epoch, expert_map target, expert_map current,
                time_point now, rollout_options options = {});

    /// Processes the reply of a rank to an order or to a poll.
    /// @param round value of round() when the request was sent; replies to earlier rounds confirm
    /// nothing, because their state may predate the orders of the current round
    /// @param rank index of the rank in the group
    /// @param order the order that was sent; empty for a poll
    /// @param result outcome of the order
    /// @param report state of the rank after the order; empty if the rank did not answer
    /// @param now the current time
    void on_reply(std::uint64_t round, unsigned rank, const std::optional<rank_order>& order,
                  order_result result, const std::optional<rank_report>& report, time_point now);

    /// Ends the current phase if it has reached its timeout.
    /// @param now the current time
    void check_timeouts(time_point now);

    /// @return orders that the ranks have not confirmed yet; the caller resends them until they
    /// have
    [[nodiscard]] std::vector<addressed_order> pending_orders() const;

    /// @param rank index of the rank
    /// @return order that the rank has not confirmed yet
    [[nodiscard]] std::optional<rank_order> pending_order(unsigned rank) const
    {
        return this->order_for(rank);
    }

    /// @return ranks that receive no order now and whose state the current phase waits for
    [[nodiscard]] std::vector<unsigned> ranks_to_poll() const;

    /// @return number of the current round; every phase that is entered starts a new round
    [[nodiscard]] std::uint64_t round() const { return this->round_; }

    [[nodiscard]] rollout_phase phase() const { return this->phase_; }
    [[nodiscard]] std::uint64_t epoch() const { return this->epoch_; }
    [[nodiscard]] const expert_map& target() const { return *this->target_.map; }

    /// @return step of the switch as last chosen; 0 if none has been chosen
    [[nodiscard]] std::uint64_t step() const { return this->switch_step_; }

    /// @return whether a newer coordinator is active; the sender must take a new token or stop
    [[nodiscard]] bool is_superseded() const { return this->is_superseded_; }

    /// @return whether the rollout has ended and sends nothing more
    [[nodiscard]] bool is_over() const { return this->phase_ >= rollout_phase::done; }

private:
    struct rank_progress {
        std::optional<rank_report> report; ///< last report in this phase
        bool acknowledged = false;         ///< the rank has executed its order of this phase
        /// Steps that an earlier coordinator holds at the rank, as found by the fence phase.
        std::optional<std::uint64_t> inherited_hold;
    };

    void enter_phase(rollout_phase phase, time_point now);
    void restart_survey(time_point now);
    void advance(time_point now);
    void on_fenced_group(time_point now);
    void begin_withdrawal(time_point now);
    void give_up(time_point now);
    void choose_switch_step(time_point now);
    void note_order_latency(time_point now);
    [[nodiscard]] std::uint64_t latency_margin_steps(time_point now) const;
    void handle_conflict(unsigned rank, time_point now);

    /// Reacts to armed or held steps that the orders of the current phase do not explain.
    void handle_unexpected_state(unsigned rank, time_point now);
    [[nodiscard]] bool is_newer_coordinator_active(const rank_report& report) const;
    [[nodiscard]] bool is_hold_of_another_seen() const;
    [[nodiscard]] bool is_confirmed(unsigned rank) const;
    [[nodiscard]] std::optional<rank_order> order_for(unsigned rank) const;
    [[nodiscard]] std::optional<rank_order> withdrawing_order(const rank_report& report) const;

    rollout_options options_;
    std::uint64_t epoch_;
    prepare_order target_;
    prepare_order
        rollback_map_; ///< content of the current map, with the version after the target's
    std::vector<rank_progress> ranks_;
    rollout_phase phase_ = rollout_phase::fence;
    time_point rollout_started_;
    time_point phase_started_;
    unsigned holding_rank_ = 0;
    std::uint64_t switch_step_ = 0;
    std::optional<std::uint64_t> first_known_step_; ///< first step that any rank has reported
    std::uint64_t highest_known_step_ = 0;          ///< highest step that any rank has reported
    std::uint64_t round_ = 0;
    unsigned unanswered_orders_ = 0;
    bool is_superseded_ = false;
    unsigned attempts_ = 0;    ///< steps chosen and surveys begun
    duration order_latency_{}; ///< longest time until a rank had executed an order of a phase
};

} // namespace medlaryoke::policy
