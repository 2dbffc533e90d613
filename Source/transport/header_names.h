#pragma once

#include <string_view>
#include <vector>

#include "transport/http_message.h"

namespace medlaryoke::transport {

/// @return whether two header names are the same; case does not matter
bool same_name(std::string_view a, std::string_view b);

/// Removes the headers that concern only the connection a message came on and are not forwarded,
/// those that its Connection header names included.
/// @param headers all headers of the message
void remove_connection_headers(std::vector<http_header>& headers);

} // namespace medlaryoke::transport
