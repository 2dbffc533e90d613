#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "controllers/agent_server.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// State of an agent as shown to operators.
struct agent_status {
    std::string upstream;
    bool draining = false;
    std::uint64_t config_offset = 0;
    std::size_t pending_claim_records = 0;
    agent_server_counts counts;
};

/// Prints the state in the Prometheus text format.
/// @param status the state
/// @return the text
std::string format_metrics(const agent_status& status);

/// Answers `/healthz`, `/readyz` and `/metrics`. An agent is ready unless it drains or leaves, or
/// its upstream could not be reached by the last call.
/// @param request a request on the operator listener
/// @param status the current state
/// @return the answer; a typed error for another path or method
transport::http_response answer_agent_operator(const transport::http_request& request,
                                               const agent_status& status);

} // namespace medlaryoke::controllers
