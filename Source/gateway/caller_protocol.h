#pragma once

#include <string>

namespace medlaryoke::gateway {

/// Names of the headers that callers, gateways and upstreams exchange; set by the deployment. Names
/// are matched case-insensitively.
struct caller_protocol {
    std::string request_id;        ///< id of one attempt of a caller; echoed in the response
    std::string deadline;          ///< time left, in whole milliseconds
    std::string organisation;      ///< organisation that owns the API key; set by the gateway
    std::string expected_upstream; ///< id of the addressed upstream; other upstreams refuse
    std::string priority;          ///< 0 to 9, 0 is the most urgent; set on stream requests
    std::string token_usage; ///< prompt tokens and maximum output tokens, separated by a comma
    /// Parts of the prompt in order, as comma-separated ID:TOKENS entries; requests share all parts
    /// but the last.
    std::string prompt_parts;
    std::string model;     ///< name of the model
    std::string signature; ///< present in each response that an upstream generated
    std::string not_run;   ///< present if the upstream did not run the request
    /// Requests a second that the upstream takes from all gateways together, as a decimal number;
    /// missing if it has no limit.
    std::string rate_limit;
    std::string leaving;       ///< `1` if the upstream leaves and is to get no more requests
    std::string cold_time;     ///< how much longer the upstream is cold, in milliseconds
    std::string last_event_id; ///< id of the last event received; resumes a stream after it
};

} // namespace medlaryoke::gateway
