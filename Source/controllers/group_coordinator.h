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
    policy::placement_shape shape; ///< of each layer
    unsigned layers = 1;
    policy::rebalance_costs costs;
    duration check_interval = std::chrono::seconds(2);   ///< between looks at the ranks
    duration token_interval = std::chrono::seconds(30);  ///< between looks at the expert load
    duration attempt_timeout = std::chrono::minutes(10); ///< for the loading of weights
    duration hold_timeout = std::chrono::seconds(1);     ///< for the pause of the group
    duration recovery_delay = std::chrono::seconds(3);   ///< a pause this long needs a repair
    duration recovery_stagger{};                         ///< further delay, different at each agent
    duration resend_interval = std::chrono::milliseconds(100);
};

/// What a group_coordinator needs; the functions must not call back into it.
struct group_coordinator_ports {
    std::function<void(unsigned rank, wire::frame)> send;
    std::function<std::optional<std::uint64_t>()> fence; ///< of the group's lease, if held
    std::function<policy::rank_status()> own_status;     ///< of the rank of this instance
};

/// Numbers for metrics and status.
struct group_coordinator_counts {
    std::uint64_t switches = 0;       ///< switches to a new map that were completed
    std::uint64_t repairs = 0;        ///< attempts that brought ranks back to the active map
    std::uint64_t loaded_experts = 0; ///< ordered by rebalancing
    std::uint64_t active_version = 0;
};

/// Keeps the ranks of one group on one expert map: brings up ranks that restarted, and switches
/// maps when rebalancing pays off. Runs at each agent of the group; the holder of the group's
/// lease acts. If nobody holds the lease and the group makes no steps, any agent repairs it without
/// the lease, so that an outage of the log does not stop the group: the ballots keep it safe.
/// Thread safe.
class group_coordinator {
public:
    /// @param options the group
    /// @param ports connections to the ranks, and the lease
    group_coordinator(group_coordinator_options options, group_coordinator_ports ports);

    /// Goes on with the current attempt or starts one; to be called a few times per resend
    /// interval.
    /// @param now the current time
    void tick(time_point now);

    /// Takes a status that a rank has sent.
    /// @param status as received
    /// @param now the current time
    void on_status(const wire::map_status& status, time_point now);

    /// @return numbers for metrics and status
    [[nodiscard]] group_coordinator_counts counts() const;

private:
    struct outgoing {
        unsigned rank = 0;
        wire::frame frame;
    };

    void begin_if_due(time_point now);
    void watch_progress(const policy::rank_status& own, time_point now);
    void begin(const policy::ballot& own, time_point now);
    void check_attempt(time_point now);
    void finish_attempt(time_point now);
    [[nodiscard]] std::vector<outgoing> collect_commands(time_point now);
    [[nodiscard]] std::optional<outgoing> make_outgoing(const policy::rank_command& command) const;
    void use_tokens(time_point now);
    [[nodiscard]] std::optional<std::vector<std::vector<double>>> total_tokens() const;
    void propose(const std::vector<policy::layer_placement>& layers);
    [[nodiscard]] std::vector<policy::layer_placement>
    placements(const wire::expert_map& map) const;
    void send_all(std::vector<outgoing> frames) const;

    const group_coordinator_options options_;
    const group_coordinator_ports ports_;

    mutable std::mutex mutex_;
    std::unique_ptr<policy::map_switch> attempt_; ///< null between attempts
    policy::ballot own_;                          ///< of the current or last attempt
    policy::ballot highest_;                      ///< seen at any rank
    bool with_lease_ = false;
    bool with_tokens_ = false;
    std::map<std::uint64_t, wire::expert_map> maps_;
    std::optional<wire::expert_map> wanted_;
    std::map<unsigned, wire::map_status> token_statuses_; ///< by rank
    std::optional<std::vector<std::vector<double>>> last_tokens_;
    policy::rebalance_decision decision_;
    group_coordinator_counts counts_;
    std::uint64_t proposals_ = 0;
    time_point next_check_{};
    time_point next_tokens_{};
    time_point last_tokens_at_{};
    time_point next_send_{};
    time_point progress_at_{}; ///< when the own rank last began a step
    std::uint64_t last_next_step_ = 0;
};

} // namespace medlaryoke::controllers
