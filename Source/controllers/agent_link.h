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

/// How a dispatch went; called in order on a worker thread. Exactly one of on_finished,
/// on_refused and on_unknown ends it.
struct dispatch_events {
    std::function<void(const transport::http_head&)> on_head;
    std::function<void(std::string)> on_data;
    /// The whole answer was delivered and its digest matched.
    std::function<void()> on_finished;
    /// The request was not run and never will be under this dispatch.
    std::function<void(wire::refusal_reason, const std::string&)> on_refused;
    /// The request may have been run and no whole answer will come.
    std::function<void(const std::string&)> on_unknown;
};

/// Last known state of an agent.
struct agent_link_view {
    std::string upstream;   ///< name of the upstream
    bool connected = false; ///< the session is open and not silent
    std::uint64_t agent_incarnation = 0;
    wire::load_report load;
    unsigned dispatched_since_report = 0;
    std::uint64_t config_offset = 0;
    std::uint64_t confirmed_offset = 0;
    time_point connected_since{};
};

struct agent_link_options {
    std::string upstream; ///< name of the upstream resource
    std::string address;  ///< IP address and port of the agent
    std::string instance; ///< name of this entry
    std::string data_centre;
    std::uint64_t entry_incarnation = 0;
};

/// Callbacks of the owner of a link; called on worker threads.
struct agent_link_events {
    std::function<void()> on_load_changed; ///< room may have become free, or the state changed
    std::function<std::uint64_t()> config_offset;    ///< offset to send in heartbeats
    std::function<std::uint64_t()> confirmed_offset; ///< lowest offset in force below this entry
    /// Configuration messages: config_request, config_records, and heartbeat offsets.
    std::function<void(const wire::frame&)> on_config_frame;
    std::function<void(const std::vector<wire::organisation_usage>&)> on_usage;
};

/// An entry's numbered sessions with one agent. Settles every dispatch as finished, refused or
/// unknown, also over silent connections and restarts of the agent. Thread safe.
class agent_link {
public:
    agent_link(transport::runtime& context, const clock_source& clock, agent_link_options options,
               agent_link_events events);
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;
    agent_link(agent_link&&) = delete;
    agent_link& operator=(agent_link&&) = delete;

    /// Ends the open dispatches as unknown; their events follow on a worker thread.
    ~agent_link();

    /// Hands a request to the agent. The id, session, incarnation and time left are filled in.
    /// @param request what to run
    /// @param deadline after which the caller no longer waits
    /// @param events how it went
    /// @return id of the dispatch, for cancel
    std::uint64_t dispatch(wire::dispatch request, time_point deadline, dispatch_events events);

    /// Cancels a dispatch whose caller went away; no further events follow.
    /// @param dispatch_id the dispatch
    void cancel(std::uint64_t dispatch_id);

    /// Sends a configuration message to the agent.
    /// @param frame a frame with config_request or config_records
    void send_config(wire::frame frame);

    /// @return the last known state
    [[nodiscard]] agent_link_view view() const;

    /// @return dispatches that have not ended
    [[nodiscard]] std::size_t in_flight() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
