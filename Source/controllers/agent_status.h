#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "controllers/agent_server.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// State of an agent that its operator endpoints report.
struct agent_status {
    std::string upstream;                  ///< name of the upstream
    bool draining = false;                 ///< the agent process is shutting down
    std::uint64_t config_offset = 0;       ///< offset of the configuration in force
    std::size_t pending_claim_records = 0; ///< claim records that the log has not stored yet
    agent_server_counts counts;
};

/// Formats the state as metrics in the Prometheus text format.
/// @param status the current state
/// @return the metrics
std::string format_metrics(const agent_status& status);

/// Answers `/healthz`, `/readyz` and `/metrics`. An agent is ready unless it is draining or
/// leaving, or the last call did not reach its upstream.
/// @param request a request on the operator listener
/// @param status the current state
/// @return the answer; an error response for another path or method
transport::http_response answer_agent_operator_request(const transport::http_request& request,
                                                       const agent_status& status);

} // namespace medlaryoke::controllers
