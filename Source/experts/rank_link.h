#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "experts/lockstep_engine.h"
#include "experts/rank_messages.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::experts {

/// Sends a coordinator's requests to one rank: through the agent next to the engine, or directly to
/// the engine while the agent does not answer, or answers without naming the rank, as agents of
/// earlier versions do. Direct requests from another instance are charged for, so the agent is
/// tried again after a short time. Must be used on the thread of a single-threaded runtime.
class rank_link : public std::enable_shared_from_this<rank_link> {
public:
    /// @param context runs the calls
    /// @param clock source of the current time
    /// @param agent_address IP address and port of the agent
    /// @param engine client that reaches the engine without the agent
    /// @param report_lag maximum age of a report that is read without the agent
    rank_link(transport::runtime& context, const clock_source& clock,
              const std::string& agent_address, std::unique_ptr<lockstep_engine> engine,
              duration report_lag);

    /// Sends a request.
    /// @param request the order and the data to read; counts are not read without the agent,
    /// because a remote read of them pauses the group
    /// @param done called once; the reply has no report if the rank does not answer. A report is
    /// never older than the request or its order.
    void send(const rank_request& request, std::function<void(rank_reply)> done);

    /// @return whether the agent did not answer recently and is bypassed for now
    [[nodiscard]] bool is_agent_unresponsive() const
    {
        return this->clock_.now() < this->agent_bypassed_until_;
    }

private:
    void send_directly(rank_request request, std::function<void(rank_reply)> done);

    transport::runtime& context_;
    const clock_source& clock_;
    duration report_lag_;
    std::string agent_address_;
    event_log log_{"experts"};
    transport::http_client agent_;
    std::unique_ptr<lockstep_engine> engine_;
    time_point agent_bypassed_until_{};
};

} // namespace medlaryoke::experts
