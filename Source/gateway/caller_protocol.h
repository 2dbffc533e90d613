#pragma once

#include <string>

namespace medlaryoke::gateway {

/// Names of the headers that callers, gateways and upstreams exchange, as a deployment spells them.
/// Names are matched without regard to case.
struct caller_protocol {
    std::string request_id;        ///< of one attempt of a caller; echoed in the answer
    std::string deadline;          ///< whole milliseconds that are left
    std::string organisation;      ///< name of the key's organisation; set for the upstream
    std::string expected_upstream; ///< id of the upstream meant; others refuse
    std::string priority;          ///< 0 to 9, 0 first; set for engines
    std::string token_usage;       ///< prompt tokens and most output tokens, with a comma between
    std::string signature;         ///< in each answer that an upstream made
    std::string not_run;           ///< present if the upstream states that it did not run it
    std::string last_event;        ///< id of the last event received, to go on with a stream
};

} // namespace medlaryoke::gateway
