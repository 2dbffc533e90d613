#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/wire_frame.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

namespace medlaryoke::controllers {

/// Callbacks that report the progress of a dispatch, called in order on a worker thread. Exactly
/// one of on_finished, on_refused and on_unknown is called, as the last one.
struct dispatch_events {
    /// The status and headers of the answer arrived.
    std::function<void(const transport::http_head&)> on_head;
    /// A part of the body of the answer arrived.
    std::function<void(std::string)> on_data;
    /// The complete answer was delivered and its digest matched.
    std::function<void()> on_finished;
    /// The request was not run and will not be run under this dispatch.
    std::function<void(wire::refusal_reason, const std::string&)> on_refused;
    /// The request may have been run, and its complete answer will not arrive.
    std::function<void(const std::string&)> on_unknown;
};

/// Last known state of an agent and of the link with it.
struct agent_link_view {
    std::string upstream;                 ///< name of the upstream
    bool connected = false;               ///< the agent answered the hello of the current session
    std::uint64_t agent_incarnation = 0;  ///< changes when the agent restarts
    wire::load_report load;               ///< the latest one received
    unsigned dispatched_since_report = 0; ///< dispatches that the load report does not include
    std::uint64_t config_offset = 0;      ///< highest offset that the agent reported
    std::uint64_t confirmed_offset = 0;   ///< highest confirmed offset that the agent reported
    time_point connected_since{};         ///< first welcome of this incarnation of the agent
};

struct agent_link_options {
    std::string upstream;    ///< name of the upstream resource
    std::string address;     ///< IP address and port of the agent
    std::string instance;    ///< name of this entry
    std::string data_centre; ///< of this entry
    std::uint64_t entry_incarnation = 0;
};

/// Callbacks of the owner of a link; called on worker threads.
struct agent_link_events {
    std::function<void()> on_load_changed; ///< the load or the connection changed
    std::function<std::uint64_t()>
        config_offset; ///< offset in force at this entry, sent to the agent
    std::function<std::uint64_t()>
        confirmed_offset; ///< lowest offset in force at the agents of this entry
    /// Handles frames that concern the configuration: config_request, config_records, and the
    /// offsets in welcome and heartbeat.
    std::function<void(const wire::frame&)> on_config_frame;
    /// Handles the usage by organisation that a heartbeat reports.
    std::function<void(const std::vector<wire::organisation_usage>&)> on_usage;
};

/// Link of an entry with one agent. It opens a numbered session for each new connection and ends
/// every dispatch as finished, refused or unknown, even if connections go silent or the agent
/// restarts. Thread safe.
class agent_link {
public:
    /// @param context runs the connection, the timer and the callbacks
    /// @param clock source of the time; outlives this object
    /// @param options names and address
    /// @param events callbacks of the owner
    agent_link(transport::runtime& context, const clock_source& clock, agent_link_options options,
               agent_link_events events);
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;
    agent_link(agent_link&&) = delete;
    agent_link& operator=(agent_link&&) = delete;

    /// Ends the open dispatches as unknown; their events are called later on a worker thread.
    ~agent_link();

    /// Sends a request to the agent. This function sets the id, session, incarnation, configuration
    /// offset and timeout of the dispatch.
    /// @param request the request to run
    /// @param deadline time after which the caller no longer waits
    /// @param events callbacks that report the progress
    /// @return id of the dispatch, for cancel
    std::uint64_t dispatch(wire::dispatch request, time_point deadline, dispatch_events events);

    /// Cancels a dispatch whose caller no longer waits; no further events are called for it.
    /// @param dispatch_id id of the dispatch
    void cancel(std::uint64_t dispatch_id);

    /// Sends a configuration message to the agent.
    /// @param frame a frame with config_request or config_records; dropped if no session is open
    void send_config(wire::frame frame);

    /// @return the last known state of the agent
    [[nodiscard]] agent_link_view view() const;

    /// @return number of dispatches that have not ended
    [[nodiscard]] std::size_t in_flight() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
