#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// A request that the filters accepted, with the data for queueing and dispatching it.
struct work_request {
    std::string request_id;      ///< the same at the caller, this entry, the agent and the upstream
    std::string target;          ///< model group or service that serves the request
    std::string caller;          ///< name of the authenticated caller
    std::string organisation;    ///< organisation of the caller
    double share = 1;            ///< weight of the organisation in fair queueing
    std::string priority;        ///< name of the priority
    unsigned priority_order = 0; ///< 0 is the most urgent
    duration first_token_target{};    ///< target of the time to the first token
    duration token_interval_target{}; ///< target of the time between two tokens
    bool stream = false;              ///< the answer is sent as server-sent events
    bool json_answer = true;          ///< the body field `outcome` is added to a JSON answer
    bool idempotent = false;          ///< may run more than once
    std::string idempotency_key;      ///< empty if the caller sent none
    time_point received{};            ///< when this entry received the request
    time_point deadline{};            ///< after which the caller no longer waits
    double cost = 1;                  ///< estimated work in tokens
    std::vector<std::uint64_t> prefix_hashes; ///< of the prefixes of the prompt, shortest first
    transport::http_request upstream_request; ///< the HTTP request to send to the upstream
};

} // namespace medlaryoke::controllers
