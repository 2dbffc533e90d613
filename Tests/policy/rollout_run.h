#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "policy/map_rollout.h"
#include "policy/rank_group_model.h"

namespace medlaryoke::policy {

/// What happens to one order on its way.
enum class order_fault_kind {
    lost,       ///< never executed and not answered
    unanswered, ///< executed at once and not answered
    late,       ///< executed after a delay and not answered
};

/// A fault of one of the orders of a run.
struct order_fault {
    unsigned order = 0; ///< number of the order, counted from 0 over all coordinators
    order_fault_kind kind = order_fault_kind::lost;
    duration delay{}; ///< only used by late
};

/// Faults of one run.
struct run_faults {
    std::vector<order_fault> orders;
    std::optional<duration> crash_at; ///< when the first coordinator ends without a cleanup
    /// Time from the crash until the successor begins. A frozen coordinator wakes up after it.
    duration takeover_time = std::chrono::milliseconds(500);
    bool crash_is_freeze = false;    ///< the crashed coordinator goes on after the takeover
    std::optional<duration> idle_at; ///< when the group begins no steps for two seconds
};

/// Plays coordinators that switch the maps of a group twice, one order fault at a time, with the
/// intervals at which the product sends, repeats and polls.
class rollout_run {
public:
    /// @param rank_count number of ranks
    /// @param checks_tokens whether the engines refuse lower tokens
    /// @param faults what goes wrong
    rollout_run(unsigned rank_count, bool checks_tokens, run_faults faults);
    rollout_run(const rollout_run&) = delete;
    rollout_run& operator=(const rollout_run&) = delete;
    rollout_run(rollout_run&&) = delete;
    rollout_run& operator=(rollout_run&&) = delete;
    ~rollout_run() = default;

    /// @param length simulated time
    void run(duration length);

    /// @return whether no coordinator is at work and nothing is armed or held
    [[nodiscard]] bool is_settled() const;

    /// @return whether every step began with one map on all ranks
    [[nodiscard]] bool maps_agreed() const { return this->maps_agreed_; }

    /// @return the longest time in which the group was held
    [[nodiscard]] duration longest_hold() const { return this->longest_hold_; }

    /// @return number of completed switches
    [[nodiscard]] unsigned switches() const { return this->switches_; }

    /// @return number of orders sent
    [[nodiscard]] unsigned orders() const { return this->order_count_; }

private:
    struct late_order {
        time_point delivery_time;
        unsigned rank = 0;
        std::uint64_t token = 0;
        std::uint64_t epoch = 0;
        rank_order order;
    };

    struct coordinator {
        std::uint64_t token = 0;
        std::uint64_t proposals = 0;
        std::uint64_t highest_held_step = 0;
        unsigned optional_switches_left = 2;
        bool is_surveyed = false;
        std::unique_ptr<map_rollout> rollout;
        std::uint64_t sent_round = 0;
        time_point next_send{};
        time_point next_poll{};
        time_point next_start{};
    };

    void drive(coordinator& it);
    void start_rollout(coordinator& it);
    void send(coordinator& it, unsigned rank, const rank_order& order);
    void deliver_late();

    rank_group_model group_;
    std::vector<std::uint64_t> agent_tokens_; ///< highest token that each rank's agent has seen
    bool checks_tokens_;
    run_faults faults_;
    time_point started_{std::chrono::seconds(100)};
    time_point now_ = started_;
    std::vector<std::unique_ptr<coordinator>> coordinators_;
    std::vector<late_order> late_;
    unsigned order_count_ = 0;
    unsigned switches_ = 0;
    bool maps_agreed_ = true;
    duration longest_hold_{};
};

} // namespace medlaryoke::policy
