#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/agent_link.h"
#include "controllers/serial_actions.h"
#include "policy/dispatch_tracker.h"

namespace medlaryoke::controllers {

/// Interval between two heartbeats, in each direction of a session.
constexpr duration heartbeat_interval = std::chrono::milliseconds(500);

/// A connection is silent if no frame was received on it for this long.
constexpr duration silence_limit = std::chrono::milliseconds(1500);

/// Time after a connection went silent in which the agent must answer the hello of a new session;
/// otherwise its dispatches end as unknown. It suffices for two new connections.
constexpr duration reconnect_timeout = 2 * silence_limit;

/// Time after the deadline of a dispatch in which the agent may still report how it ended.
constexpr duration deadline_grace = std::chrono::milliseconds(500);

/// Functions that a session needs of its connection.
struct agent_session_ports {
    /// Sends a frame after all earlier ones. Returns false only if the frame certainly cannot
    /// arrive.
    std::function<bool(wire::frame)> send;
    /// Drops the connection with its unsent frames and opens a new one.
    std::function<void()> reconnect;
    /// Runs a function on a worker thread, after the caller has returned.
    std::function<void(std::function<void()>)> post;
};

/// Implements the entry's side of the protocol with one agent, without sockets and timers, which
/// agent_link adds. Thread safe.
class agent_session : public std::enable_shared_from_this<agent_session> {
public:
    /// @param clock source of the time
    /// @param options names of the upstream and of this entry
    /// @param events callbacks of the owner
    /// @param ports access to the connection
    agent_session(const clock_source& clock, agent_link_options options, agent_link_events events,
                  agent_session_ports ports);

    /// Opens the first session.
    void start();

    /// Handles a frame of the agent.
    /// @param frame the frame
    void on_frame(const wire::frame& frame);

    /// Opens a new session over a new connection; to be called when no frame was received for
    /// silence_limit.
    void on_silent();

    /// Sends a heartbeat and ends the dispatches whose deadline has passed; to be called every
    /// heartbeat_interval.
    void tick();

    /// Ends the open dispatches as unknown; to be called before the connection is closed.
    void close();

    // These functions implement the functions of agent_link of the same names.
    std::uint64_t dispatch(wire::dispatch request, time_point deadline, dispatch_events events);
    void cancel(std::uint64_t dispatch_id);
    void send_config(wire::frame frame);
    [[nodiscard]] agent_link_view view() const;
    [[nodiscard]] std::size_t in_flight() const;

private:
    void open_session(std::uint64_t config_offset);
    void on_unknown_session(std::uint64_t config_offset);
    void on_welcome(const wire::welcome& welcome);
    void update_load(const wire::load_report& load);
    void apply_actions(std::vector<policy::tracker_action> actions);
    void apply_action(policy::deliver_head& action);
    void apply_action(policy::deliver_data& action);
    void apply_action(policy::request_resume& action);
    void apply_action(policy::dispatch_ended& action);
    void notify_load_changed();
    void notify_config_frame(const wire::frame& frame);
    [[nodiscard]] std::shared_ptr<dispatch_events> find_events(std::uint64_t id) const;
    std::shared_ptr<dispatch_events> take_events(std::uint64_t id);
    void post_actions();

    const clock_source& clock_;
    const agent_link_options options_;
    const agent_link_events events_;
    const agent_session_ports ports_;
    serial_actions actions_;

    mutable std::mutex mutex_;
    policy::dispatch_tracker tracker_;
    std::map<std::uint64_t, std::shared_ptr<dispatch_events>> dispatch_events_; ///< by dispatch id
    agent_link_view view_;
    std::uint32_t session_number_ = 0; ///< of the current session; 0 before the first one
    std::uint64_t next_dispatch_id_ = 1;
    std::uint64_t dispatches_sent_in_session_ = 0;
    time_point opened_at_{};       ///< when the current hello was sent
    time_point disconnected_at_{}; ///< when the last connection went silent
};

} // namespace medlaryoke::controllers
