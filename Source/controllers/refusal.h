#pragma once

#include <string>

#include "base/error.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// How the dispatcher handles a request that an agent refused.
struct refusal_handling {
    bool retry_on_other_agent = false; ///< whether another agent may accept the request
    error_kind kind = error_kind::not_run;
    std::string remedy; ///< advice for the caller if the request is not retried
};

/// @param reason why the agent refused the request
/// @return how to handle the request; it is retried on another agent if the reason is unknown
refusal_handling refusal_handling_for(wire::refusal_reason reason);

} // namespace medlaryoke::controllers
