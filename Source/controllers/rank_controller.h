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
    unsigned rank = 0;
    std::uint64_t agent_incarnation = 0;
};

/// The agent's side of a switch of expert maps: checks each command against the gate of the rank
/// and passes it to the engine. Commands are handled one at a time, so that no command of a lower
/// ballot reaches the engine after a higher one was promised. Thread safe.
class rank_controller : public std::enable_shared_from_this<rank_controller> {
public:
    using reply_function = std::function<void(wire::frame)>;

    /// @param options group and rank
    /// @param engine the engine of the rank; outlives this object
    rank_controller(rank_controller_options options, rank_engine& engine);

    /// Handles a command for this group. The reply is left out if the engine does not answer.
    /// @param command as received
    /// @param reply takes the status of the rank
    void handle(received_map_command command, reply_function reply);

    /// Reads the state of the engine, so that status() is recent.
    void poll();

    /// @return last known state of the rank
    [[nodiscard]] policy::rank_status status() const;

private:
    struct pending_command {
        received_map_command command;
        reply_function reply;
    };

    void run_next();
    void on_state(const std::optional<rank_engine_state>& state);
    void on_order_done(const std::optional<rank_engine_state>& state);
    void finish(const rank_engine_state& state, bool accepted);
    void end_current();
    void refresh(const rank_engine_state& state);
    void remember_map(const wire::expert_map& map);

    const rank_controller_options options_;
    rank_engine& engine_;

    mutable std::mutex mutex_;
    policy::rank_gate gate_;
    std::deque<pending_command> pending_;
    std::map<std::uint64_t, wire::expert_map> maps_; ///< content of the newest maps by version
    bool running_ = false;
};

} // namespace medlaryoke::controllers
