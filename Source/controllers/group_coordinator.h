#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/wire.pb.h"
#include "policy/map_switch.h"
#include "policy/rebalance_decision.h"

namespace medlaryoke::controllers {

struct group_coordinator_options {
    std::string group; ///< name of the model group
    std::uint64_t agent_incarnation = 0;
    policy::placement_shape shape; ///< numbers of ranks, experts and slots of each layer
    unsigned layers = 1;           ///< number of expert layers of the model
    policy::rebalance_costs costs;
    /// Time from the end of an attempt to the next one.
    duration status_check_interval = std::chrono::seconds(2);
    /// Time between reads of the token counts of the experts.
    duration token_count_interval = std::chrono::seconds(30);
    /// Longest time of an attempt, including the loading of weights.
    duration attempt_timeout = std::chrono::minutes(10);
    /// Longest time that ranks are held before the switch is decided.
    duration hold_timeout = std::chrono::seconds(1);
    /// Time without a step after which the group is repaired without a lease.
    duration stall_timeout = std::chrono::seconds(3);
    /// Added to stall_timeout; different at each agent, so that agents do not start attempts at
    /// the same time.
    duration stall_timeout_stagger{};
    /// Time between transmissions of commands that are not confirmed.
    duration resend_interval = std::chrono::milliseconds(100);
};

/// Functions that a group_coordinator calls; they must not call back into it.
struct group_coordinator_callbacks {
    /// Sends a frame to the agent of a rank.
    std::function<void(unsigned rank, wire::frame)> send;
    /// Returns the fence of the group's lease, or an empty value if this agent does not hold it.
    std::function<std::optional<std::uint64_t>()> fence;
    /// Returns the status of the rank of this instance.
    std::function<policy::rank_status()> own_status;
};

/// Numbers for metrics and status.
struct group_coordinator_counts {
    std::uint64_t switches = 0;       ///< completed switches to a new map
    std::uint64_t repairs = 0;        ///< attempts that returned ranks to the active map
    std::uint64_t loaded_experts = 0; ///< expert loads caused by rebalancing
    std::uint64_t active_version = 0; ///< version of the map in use
};

/// Keeps all ranks of one group on the same expert map: activates the map at ranks that restarted,
/// and switches to a new map when the predicted saving of rebalancing exceeds its cost. Runs at
/// each agent of the group; normally only the holder of the group's lease starts attempts. If the
/// group makes no steps for the stall timeout, any agent starts an attempt without the lease, so
/// that an outage of the log does not stop the group. Each rank rejects ballots below the highest
/// that it has promised, so concurrent attempts are safe. Thread safe.
class group_coordinator {
public:
    /// @param options the group, limits and intervals
    /// @param callbacks access to the ranks and the lease
    group_coordinator(group_coordinator_options options, group_coordinator_callbacks callbacks);

    /// Continues the current attempt or starts one if it is due; to be called several times per
    /// resend interval.
    /// @param now the current time
    void tick(time_point now);

    /// Handles the status of a rank.
    /// @param status message of the rank's agent
    /// @param now the current time
    void on_status(const wire::map_status& status, time_point now);

    /// @return numbers for metrics and status
    [[nodiscard]] group_coordinator_counts counts() const;

private:
    struct outgoing_frame {
        unsigned rank = 0;
        wire::frame frame;
    };

    void start_attempt_if_due(time_point now);
    void track_progress(const policy::rank_status& own, time_point now);
    void start_attempt(const policy::ballot& ballot, time_point now);
    void check_attempt(time_point now);
    void finish_attempt(time_point now);
    [[nodiscard]] std::vector<outgoing_frame> collect_commands(time_point now);
    [[nodiscard]] std::optional<outgoing_frame>
    make_outgoing_frame(const policy::rank_command& command) const;
    void rebalance_if_worthwhile(time_point now);
    [[nodiscard]] std::optional<std::vector<std::vector<double>>> sum_tokens_by_expert() const;
    void propose_map(const std::vector<policy::layer_placement>& layers);
    [[nodiscard]] std::vector<policy::layer_placement>
    placements(const wire::expert_map& map) const;
    void send_all(std::vector<outgoing_frame> frames) const;

    const group_coordinator_options options_;
    const group_coordinator_callbacks callbacks_;

    mutable std::mutex mutex_;
    std::unique_ptr<policy::map_switch> attempt_; ///< null between attempts
    policy::ballot own_ballot_;                   ///< ballot of the current or last attempt
    policy::ballot highest_ballot_;               ///< highest ballot seen at any rank
    bool under_lease_ = false;   ///< the attempt was started by the holder of the lease
    bool counts_tokens_ = false; ///< the attempt collects the token counts of all ranks
    std::map<std::uint64_t, wire::expert_map> maps_by_version_;
    std::optional<wire::expert_map> proposed_map_;        ///< to be activated by the next attempt
    std::map<unsigned, wire::map_status> token_statuses_; ///< by rank
    std::optional<std::vector<std::vector<double>>> previous_token_totals_;
    policy::rebalance_decision decision_;
    group_coordinator_counts counts_;
    std::uint64_t proposal_count_ = 0;
    time_point next_attempt_at_{};
    time_point next_token_count_at_{};
    time_point tokens_counted_at_{};
    time_point next_send_at_{};
    time_point last_progress_at_{}; ///< when the next step of the own rank last changed
    std::uint64_t last_next_step_ = 0;
};

} // namespace medlaryoke::controllers
