#pragma once

#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "transport/http_message.h"

namespace medlaryoke::transport {

/// Makes the reply that reports an error:
/// `{"error":{"kind","message","remedy"},"outcome"}` and the header `Medlaryoke-Outcome`.
/// @param failure the error; its kind determines the status
/// @param outcome whether the request was run: `not-run`, `unknown` or `answered`
/// @return the whole reply
http_response make_error_response(const error& failure, std::string_view outcome = "not-run");

/// Makes the header `Retry-After`.
/// @param wait time after which the caller should retry
/// @return the header, in seconds with three decimals
http_header make_retry_after(duration wait);

/// Makes a reply with a JSON body.
/// @param status the HTTP status
/// @param body the serialized JSON
/// @return the whole reply
http_response make_json_response(unsigned status, std::string body);

} // namespace medlaryoke::transport
