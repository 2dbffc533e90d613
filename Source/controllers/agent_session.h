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

/// Interval of heartbeats in both directions of a session.
constexpr duration heartbeat_interval = std::chrono::milliseconds(500);

/// A connection without any frame for this long is silent.
constexpr duration silence_limit = std::chrono::milliseconds(1500);

/// An agent that answers no hello for this long after its connection went silent is given up:
/// its dispatches end as unknown. Leaves time for two new connections.
constexpr duration settle_timeout = 2 * silence_limit;

/// How long past its deadline a dispatch waits for the agent's own answer.
constexpr duration deadline_grace = std::chrono::milliseconds(500);

/// What a session needs of its connection.
struct agent_session_ports {
    /// Sends a frame in order; false if it certainly cannot arrive.
    std::function<bool(wire::frame)> send;
    /// Drops the connection with its unsent frames and opens a new one.
    std::function<void()> reconnect;
    /// Runs a function soon on another stack.
    std::function<void(std::function<void()>)> post;
};

/// The protocol of agent_link without its sockets and timers. Thread safe.
class agent_session : public std::enable_shared_from_this<agent_session> {
public:
    /// @param clock source of the time
    /// @param options names of both sides
    /// @param events callbacks of the owner
    /// @param ports the connection
    agent_session(const clock_source& clock, agent_link_options options, agent_link_events events,
                  agent_session_ports ports);

    /// Opens the first session.
    void start();

    /// @param frame a frame from the agent
    void on_frame(const wire::frame& frame);

    /// Nothing was received for silence_limit: opens a new session over a new connection.
    void on_silent();

    /// Sends a heartbeat and ends the dispatches whose deadline has passed; to be called every
    /// heartbeat_interval.
    void tick();

    /// Ends the open dispatches as unknown; the connection goes away after this.
    void close();

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
    void apply(std::vector<policy::tracker_action> actions);
    void apply_one(policy::deliver_head& action);
    void apply_one(policy::deliver_data& action);
    void apply_one(policy::request_resume& action);
    void apply_one(policy::dispatch_ended& action);
    void notify_load_changed();
    void notify_config(const wire::frame& frame);
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
    std::map<std::uint64_t, std::shared_ptr<dispatch_events>> dispatch_events_;
    agent_link_view view_;
    std::uint32_t session_ = 0;
    std::uint64_t next_dispatch_ = 1;
    std::uint64_t sent_in_session_ = 0;
    time_point opened_at_{};       ///< when the current hello was sent
    time_point disconnected_at_{}; ///< when the last connection went silent
};

} // namespace medlaryoke::controllers
