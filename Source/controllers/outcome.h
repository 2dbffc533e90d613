#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// How a request ended, as told to the caller.
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

/// Why a request got no answer.
struct request_failure {
    outcome result = outcome::not_run;
    error_kind kind = error_kind::internal;
    std::string message; ///< names the value and the place
    std::string remedy;  ///< what the caller should do
};

/// @param failure why the request got no answer
/// @param request_id the request, for logs at both ends
/// @return the JSON body of an error reply
std::string make_failure_body(const request_failure& failure, const std::string& request_id);

/// @param failure why the request got no answer
/// @param request_id the request, for logs at both ends
/// @return an error reply with the outcome in header and body
transport::http_response make_failure_response(const request_failure& failure,
                                               const std::string& request_id);

} // namespace medlaryoke::controllers
