#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// How a request ended, as reported to the caller.
enum class outcome {
    answered, ///< the complete answer was delivered
    not_run,  ///< the request was not run and will not be run
    unknown,  ///< the request may have been run; no complete answer is available
};

constexpr std::string_view outcome_header = "Medlaryoke-Outcome";
constexpr std::string_view request_id_header = "Medlaryoke-Request-Id";

/// @param value the outcome
/// @return `answered`, `not-run` or `unknown`
std::string_view to_string(outcome value);

/// Outcome and error of a request that got no complete answer.
struct request_failure {
    outcome result = outcome::not_run;
    error_kind kind = error_kind::internal;
    std::string message; ///< what failed, with the values concerned
    std::string remedy;  ///< what the caller should do
};

/// @param failure outcome and error
/// @param request_id id by which the logs of the caller and the entry identify the request
/// @return the JSON body of an error reply
std::string make_failure_body(const request_failure& failure, const std::string& request_id);

/// @param failure outcome and error
/// @param request_id id by which the logs of the caller and the entry identify the request
/// @return an error reply with the outcome in its header and body
transport::http_response make_failure_response(const request_failure& failure,
                                               const std::string& request_id);

} // namespace medlaryoke::controllers
