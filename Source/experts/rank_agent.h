#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "experts/lockstep_engine.h"
#include "experts/rank_messages.h"
#include "policy/process_limits.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::experts {

/// Runs next to an engine and serves coordinators: it forwards their orders to the engine and reads
/// the engine's state and token counts, which is cheap only on the engine's own instance. Orders
/// with a lower fencing token than the highest one seen are refused. Must be used on the thread of
/// a single-threaded runtime.
class rank_agent {
public:
    /// @param context runs the agent
    /// @param address IP address and port to listen on, as soon as it can be bound
    /// @param engine the local engine; must outlive the agent
    /// @param limits memory and descriptors of this process
    /// @throws error of kind invalid_argument if the address is malformed
    rank_agent(transport::runtime& context, const std::string& address, lockstep_engine& engine,
               const policy::process_limits& limits = {});

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const { return this->server_.address(); }

private:
    void handle(const transport::http_request& message,
                const std::shared_ptr<transport::response_stream>& response);

    lockstep_engine& engine_;
    std::uint64_t token_ = 0; ///< highest fencing token seen
    event_log log_{"agent"};
    transport::http_server server_;
};

/// Executes a request on an engine: gives the order, if there is one, and then reads the report and
/// the requested counts and experts.
/// @param engine the engine; must outlive the callback
/// @param request the order and the data to read
/// @param done called once with the reply
void serve_rank_request(lockstep_engine& engine, const rank_request& request,
                        std::function<void(rank_reply)> done);

} // namespace medlaryoke::experts
