#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// A request that passed the filters, ready to be queued.
struct work_request {
    std::string request_id; ///< end to end
    std::string target;     ///< model group or service that serves the request
    std::string caller;
    std::string organisation;
    double share = 1;
    std::string priority;        ///< name of the priority
    unsigned priority_order = 0; ///< 0 is the most urgent
    duration first_token_target{};
    duration token_interval_target{};
    bool stream = false;     ///< the answer is sent as server-sent events
    bool json_answer = true; ///< the body field `outcome` is added to a JSON answer
    bool idempotent = false;
    std::string idempotency_key;
    time_point received{};
    time_point deadline{};
    double cost = 1;                          ///< expected work, in tokens
    std::vector<std::uint64_t> prefix_hashes; ///< shortest prefix first
    transport::http_request upstream_request; ///< as the upstream receives it
};

} // namespace medlaryoke::controllers
