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

/// A coordinator's way to one rank: through the agent beside its engine, or straight to the engine
/// while the agent does not answer. Orders from another machine are priced, so that way is taken
/// only for a while. Used on the thread of a runtime with one thread.
class rank_link : public std::enable_shared_from_this<rank_link> {
public:
    /// @param context runs the calls
    /// @param clock the time
    /// @param agent_address IP address and port of the agent
    /// @param engine the engine, from afar
    /// @param report_lag how old a report that is read from afar may be
    rank_link(transport::runtime& context, const clock_source& clock,
              const std::string& agent_address, std::unique_ptr<lockstep_engine> engine,
              duration report_lag);

    /// Sends a request.
    /// @param request what is asked; from afar, counts are left out, as they stop the group
    /// @param done called once; without a report if the rank does not answer. A report is never
    /// older than the request or its order.
    void send(const rank_request& request, std::function<void(rank_reply)> done);

    /// @return whether the agent did not answer lately, so that the rank is reached from afar only
    [[nodiscard]] bool is_agent_silent() const
    {
        return this->clock_.now() < this->agent_silent_until_;
    }

private:
    void send_from_afar(rank_request request, std::function<void(rank_reply)> done);

    transport::runtime& context_;
    const clock_source& clock_;
    duration report_lag_;
    std::string agent_address_;
    event_log log_{"experts"};
    transport::http_client agent_;
    std::unique_ptr<lockstep_engine> engine_;
    time_point agent_silent_until_{};
};

} // namespace medlaryoke::experts
