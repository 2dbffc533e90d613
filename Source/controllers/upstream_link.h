#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "controllers/agent_link.h"

namespace medlaryoke::controllers {

/// Interface of the link with an agent that the dispatcher uses. Thread safe; no event is called
/// while the link holds a lock.
class upstream_link {
public:
    upstream_link() = default;
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;
    upstream_link(upstream_link&&) = delete;
    upstream_link& operator=(upstream_link&&) = delete;
    virtual ~upstream_link() = default;

    /// Sends a request to the agent; see agent_link::dispatch.
    /// @param request the request to run
    /// @param deadline time after which the caller no longer waits
    /// @param events callbacks that report the progress
    /// @return id of the dispatch, for cancel
    virtual std::uint64_t dispatch(wire::dispatch request, time_point deadline,
                                   dispatch_events events) = 0;

    /// Cancels a dispatch; ignored if the dispatch has ended.
    /// @param dispatch_id id of the dispatch
    virtual void cancel(std::uint64_t dispatch_id) = 0;

    /// @return the last known state of the agent
    [[nodiscard]] virtual agent_link_view view() const = 0;

    /// @return number of dispatches that have not ended
    [[nodiscard]] virtual std::size_t in_flight() const = 0;
};

} // namespace medlaryoke::controllers
