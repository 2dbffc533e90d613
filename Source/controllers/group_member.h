#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/group_coordinator.h"
#include "controllers/http_rank_engine.h"
#include "controllers/lease_controller.h"
#include "controllers/rank_controller.h"
#include "model/wire_frame.h"
#include "transport/log_service.h"
#include "transport/message_channel.h"
#include "transport/runtime.h"

namespace medlaryoke::controllers {

struct group_member_options {
    std::string upstream;         ///< name of the upstream of this agent
    std::string upstream_address; ///< IP address and port of the engine of the upstream
    std::string instance;         ///< name of this instance; holder of the lease
    std::uint64_t agent_incarnation = 0;
};

/// Runs the rank controller and the group coordinator of an agent while the configuration assigns
/// its upstream to a rank of a lock-step group and names the agents of all ranks. Thread safe.
class group_member : public std::enable_shared_from_this<group_member> {
public:
    /// @param context runs the connections and timers
    /// @param clock source of the time
    /// @param log the platform's log, for the group's lease
    /// @param options names and addresses
    group_member(transport::runtime& context, const clock_source& clock,
                 transport::log_service& log, group_member_options options);
    group_member(const group_member&) = delete;
    group_member& operator=(const group_member&) = delete;
    group_member(group_member&&) = delete;
    group_member& operator=(group_member&&) = delete;

    /// Leaves the group and releases its lease.
    ~group_member();

    /// Starts the periodic polls and ticks.
    void start();

    /// Joins, leaves or rejoins a group if the new configuration changes the membership.
    /// @param config the new configuration
    void on_config(const config_view& config);

    /// Handles a frame if it is a command for a rank.
    /// @param frame frame that an agent has sent
    /// @param reply called with the answer
    /// @return whether the frame was a command for a rank
    bool on_frame(const wire::frame& frame, rank_controller::reply_function reply);

    /// @return counts of the coordinator; zeros if the upstream is not a rank
    [[nodiscard]] group_coordinator_counts counts() const;

private:
    struct membership {
        std::string group;
        model::model_group_spec spec;
        unsigned own_rank = 0;
        std::map<unsigned, std::string> addresses; ///< IP addresses and ports of the agents by rank

        bool operator==(const membership&) const = default;
    };

    /// A connection to the agent of one rank.
    struct rank_link {
        std::unique_ptr<transport::message_client> client;
        std::shared_ptr<bool> awaits_answer; ///< whether a frame was sent since the last silence
    };

    [[nodiscard]] membership find_membership(const config_view& config) const;
    void join(const membership& target);
    void leave();
    void tick_and_reschedule();
    void send(unsigned rank, wire::frame frame);
    rank_link make_link(const std::string& address);

    transport::runtime& context_;
    const clock_source& clock_;
    transport::log_service& log_;
    const group_member_options options_;
    http_rank_engine engine_;

    mutable std::mutex mutex_;
    membership membership_;
    std::shared_ptr<rank_controller> rank_;
    std::shared_ptr<group_coordinator> coordinator_;
    std::shared_ptr<lease_controller> lease_;
    std::map<unsigned, rank_link> links_;
    time_point next_poll_at_{};
};

} // namespace medlaryoke::controllers
