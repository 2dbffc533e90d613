#include "transport/header_names.h"

#include <algorithm>
#include <array>
#include <string>

namespace medlaryoke::transport {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// @return whether a comma-separated list contains a name, ignoring case
bool list_contains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto entry = list.substr(0, comma);
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
        entry.remove_prefix(std::min(entry.find_first_not_of(" \t"), entry.size()));
        entry = entry.substr(0, entry.find_last_not_of(" \t") + 1);
        if (header_names_equal(entry, name)) {
            return true;
        }
    }
    return false;
}

/// @param connection value of the Connection header of the same message, which may name further
/// hop-by-hop headers
/// @return whether a header applies only to one connection and is not forwarded
bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    constexpr std::array<std::string_view, 11> not_forwarded{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Expect",
                                                             "Content-Length"};
    return std::ranges::any_of(
               not_forwarded,
               [name](std::string_view other) { return header_names_equal(name, other); }) ||
           list_contains(connection, name);
}

} // namespace

bool header_names_equal(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, to_lower, to_lower);
}

void remove_hop_by_hop_headers(std::vector<http_header>& headers)
{
    const std::string connection_options(
        find_header(headers, "Connection")); // a copy, because the header is removed
    std::erase_if(headers, [&connection_options](const http_header& field) {
        return is_hop_by_hop(field.name, connection_options);
    });
}

} // namespace medlaryoke::transport
