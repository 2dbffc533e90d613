#pragma once

#include <utility>
#include <vector>

#include "controllers/upstream_link.h"

namespace medlaryoke::fakes {

/// Records dispatches so that a test can answer them. The link is connected and its upstream is up
/// until the test changes `state`.
class fake_upstream_link final : public controllers::upstream_link {
public:
    struct call {
        wire::dispatch request;
        controllers::dispatch_events events;
    };

    /// @param limit concurrency limit that the agent reports
    explicit fake_upstream_link(unsigned limit = 4)
    {
        this->state.connected = true;
        this->state.load.set_upstream_up(true);
        this->state.load.set_limit(limit);
    }

    std::uint64_t dispatch(wire::dispatch request, time_point,
                           controllers::dispatch_events events) override
    {
        this->calls.push_back({std::move(request), std::move(events)});
        ++this->state.dispatched_since_report;
        return this->calls.size();
    }

    void cancel(std::uint64_t dispatch_id) override { this->cancelled.push_back(dispatch_id); }

    [[nodiscard]] controllers::agent_link_view view() const override { return this->state; }

    [[nodiscard]] std::size_t in_flight() const override { return this->running; }

    controllers::agent_link_view state;   ///< returned by view()
    std::size_t running = 0;              ///< returned by in_flight()
    std::vector<call> calls;              ///< the id of a dispatch is its position here, from 1
    std::vector<std::uint64_t> cancelled; ///< ids of dispatches
};

} // namespace medlaryoke::fakes
