#pragma once

#include <string>

#include "base/error.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// What a refusal of an agent means for the request.
struct refusal_meaning {
    bool try_elsewhere = false; ///< another agent may accept the request
    error_kind kind = error_kind::not_run;
    std::string remedy; ///< for the caller, if the request is not tried elsewhere
};

/// @param reason why the agent refused
/// @return what to do; an unknown reason is tried elsewhere
refusal_meaning explain_refusal(wire::refusal_reason reason);

} // namespace medlaryoke::controllers
