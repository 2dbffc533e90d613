#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "controllers/agent_link.h"

namespace medlaryoke::controllers {

/// What the dispatcher needs of the link with an agent. Thread safe; no event is called while a
/// lock of the link is held.
class upstream_link {
public:
    upstream_link() = default;
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;
    upstream_link(upstream_link&&) = delete;
    upstream_link& operator=(upstream_link&&) = delete;
    virtual ~upstream_link() = default;

    /// Hands a request to the agent; see agent_link::dispatch.
    /// @return id of the dispatch, for cancel
    virtual std::uint64_t dispatch(wire::dispatch request, time_point deadline,
                                   dispatch_events events) = 0;

    /// Cancels a dispatch. Ids of dispatches that have ended are ignored.
    /// @param dispatch_id the dispatch
    virtual void cancel(std::uint64_t dispatch_id) = 0;

    /// @return the last known state
    [[nodiscard]] virtual agent_link_view view() const = 0;

    /// @return dispatches that have not ended
    [[nodiscard]] virtual std::size_t in_flight() const = 0;
};

} // namespace medlaryoke::controllers
