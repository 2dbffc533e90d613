#pragma once

#include "gateway/caller_protocol.h"
#include "transport/http_message.h"

namespace medlaryoke::gateway {

/// What an upstream's answer says about the run of a request, and so what its caller may be told.
enum class answer_meaning {
    success,      ///< ran; forwarded once it is complete
    failure,      ///< ran and cannot succeed elsewhere; forwarded
    server_error, ///< ran; may be repeated if the route allows it, else forwarded
    not_run,      ///< did not run and never will; may be sent to another upstream
    unusable,     ///< may have run; nothing of it is forwarded
};

/// Decides what an answer means by its head. Callers take 408, 421, 429 and 503 as a promise that
/// the request did not run. An upstream makes this promise with the `not_run` header or with status
/// 421, and with nothing else: one that fails after the run, because its own upstream is away, may
/// answer 503 too. Such an answer is unusable.
/// @param head status from 200 to 599 and the headers
/// @param protocol names of the headers
/// @return the meaning
answer_meaning interpret_answer(const transport::http_head& head, const caller_protocol& protocol);

} // namespace medlaryoke::gateway
