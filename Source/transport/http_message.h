#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace medlaryoke::transport {

struct http_header {
    std::string name;
    std::string value;
};

/// Finds a header by its name, ignoring case.
/// @param headers the headers to search
/// @param name the name to look for
/// @return the value of the first match, empty if there is none
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

struct http_request {
    std::string method;
    std::string target; ///< path and query
    std::vector<http_header> headers;
    std::string body;
};

/// Status and headers of a reply.
struct http_head {
    unsigned status = 200;
    std::vector<http_header> headers;
};

struct http_response {
    http_head head;
    std::string body;
};

} // namespace medlaryoke::transport
