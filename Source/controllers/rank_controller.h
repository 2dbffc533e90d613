#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "controllers/map_frames.h"
#include "controllers/rank_engine.h"
#include "policy/rank_gate.h"

namespace medlaryoke::controllers {

struct rank_controller_options {
    std::string group; ///< name of the model group
    unsigned rank = 0; ///< position of the rank in the group
    std::uint64_t agent_incarnation = 0;
};

/// Handles the commands that coordinators send to one rank to switch expert maps: checks each
/// command with the gate of the rank and passes accepted commands to the engine. Handles one
/// command at a time, so that no command of a lower ballot reaches the engine after a higher ballot
/// was promised. Thread safe.
class rank_controller : public std::enable_shared_from_this<rank_controller> {
public:
    using reply_function = std::function<void(wire::frame)>;

    /// @param options the group and the rank
    /// @param engine the engine of the rank; outlives this object
    rank_controller(rank_controller_options options, rank_engine& engine);

    /// Queues a command; ignores commands for other groups. No reply is sent if the engine does not
    /// answer or too many commands are pending.
    /// @param command command of a coordinator
    /// @param reply called with a frame that contains the status of the rank
    void handle(received_map_command command, reply_function reply);

    /// Reads the state of the engine and updates status().
    void poll();

    /// @return last known status of the rank
    [[nodiscard]] policy::rank_status status() const;

private:
    struct pending_command {
        received_map_command command;
        reply_function reply;
    };

    void process_next_command();
    void on_state(const std::optional<rank_engine_state>& state);
    void on_command_done(const std::optional<rank_engine_state>& state);
    void reply_with_status(const rank_engine_state& state, bool accepted);
    void finish_current_command();
    void update_status(const rank_engine_state& state);
    void store_map(const wire::expert_map& map);

    const rank_controller_options options_;
    rank_engine& engine_;

    mutable std::mutex mutex_;
    policy::rank_gate gate_;
    std::deque<pending_command> pending_;
    std::map<std::uint64_t, wire::expert_map> maps_by_version_; ///< the active map and recent ones
    bool processing_ = false; ///< the first pending command is being processed
};

} // namespace medlaryoke::controllers
