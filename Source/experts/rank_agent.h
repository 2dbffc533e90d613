#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "experts/lockstep_engine.h"
#include "experts/rank_messages.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::experts {

/// Beside each engine: passes on the orders of coordinators and reads the engine's state and counts
/// for them, which is cheap only on the engine's own machine. Decides nothing but this: a request
/// with a lower token than one seen is refused. To be used on the thread of a runtime with one
/// thread.
class rank_agent {
public:
    /// @param context runs the agent
    /// @param address where coordinators connect; IP address and port
    /// @param engine the engine beside this agent; outlives it
    /// @throws error of kind unavailable if the address cannot be bound
    rank_agent(transport::runtime& context, const std::string& address, lockstep_engine& engine);

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const { return this->server_.address(); }

private:
    void handle(const transport::http_request& message,
                const std::shared_ptr<transport::response_stream>& response);

    lockstep_engine& engine_;
    std::uint64_t token_ = 0; ///< highest one seen
    event_log log_{"agent"};
    transport::http_server server_;
};

/// Carries out a request at an engine: the order first, then what is read.
/// @param engine the engine; outlives the callback
/// @param request what to do
/// @param done called once
void serve_rank_request(lockstep_engine& engine, const rank_request& request,
                        std::function<void(rank_reply)> done);

} // namespace medlaryoke::experts
