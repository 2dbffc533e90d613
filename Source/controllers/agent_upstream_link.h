#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

#include "controllers/agent_link.h"
#include "controllers/upstream_link.h"

namespace medlaryoke::controllers {

/// An upstream_link that uses an agent_link over the message channel.
class agent_upstream_link final : public upstream_link {
public:
    /// @param context runs the connection, the timer and the callbacks
    /// @param clock source of the time; outlives this object
    /// @param options names and address
    /// @param events callbacks of the owner
    agent_upstream_link(transport::runtime& context, const clock_source& clock,
                        agent_link_options options, agent_link_events events)
        : link_(context, clock, std::move(options), std::move(events))
    {
    }

    std::uint64_t dispatch(wire::dispatch request, time_point deadline,
                           dispatch_events events) override
    {
        return this->link_.dispatch(std::move(request), deadline, std::move(events));
    }

    void cancel(std::uint64_t dispatch_id) override { this->link_.cancel(dispatch_id); }

    [[nodiscard]] agent_link_view view() const override { return this->link_.view(); }

    [[nodiscard]] std::size_t in_flight() const override { return this->link_.in_flight(); }

    /// Sends a configuration message to the agent.
    /// @param frame a frame with config_request or config_records
    void send_config(wire::frame frame) { this->link_.send_config(std::move(frame)); }

private:
    agent_link link_;
};

} // namespace medlaryoke::controllers
