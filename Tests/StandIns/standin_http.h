#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// A request target, split into path segments and query parameters.
struct parsed_target {
    std::string path;
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;
};

/// @param target path and query of a request
/// @return its parts, without percent decoding
parsed_target parse_target(const std::string& target);

/// @param target the parsed request target
/// @param key name of the query parameter
/// @param fallback value if the parameter is missing
/// @return value of the query parameter
/// @throws error of kind invalid_argument if the value is not a number
std::uint64_t query_number(const parsed_target& target, const std::string& key,
                           std::uint64_t fallback);

/// @param request a request with a JSON object as its body
/// @return the object
/// @throws error of kind invalid_argument if the body is not a JSON object
nlohmann::json parse_body(const transport::http_request& request);

/// @param stream the reply to send
/// @param status HTTP status
/// @param body the JSON value to send
void respond_json(transport::response_stream& stream, unsigned status, const nlohmann::json& body);

/// Prints `listening <address>` and runs until SIGTERM or SIGINT.
/// @param context the runtime, not yet started
/// @param address the bound address
void run_until_terminated(transport::runtime& context, const std::string& address);

/// Runs the body of a main function. An exception is printed to standard error.
/// @param fn the body
/// @return 0, or 1 after an exception
int run_program(const std::function<void()>& fn);

} // namespace medlaryoke::standins
