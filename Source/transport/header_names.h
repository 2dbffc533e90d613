#pragma once

#include <string_view>
#include <vector>

#include "transport/http_message.h"

namespace medlaryoke::transport {

/// @return whether two header names are equal, ignoring case
bool header_names_equal(std::string_view a, std::string_view b);

/// Removes the hop-by-hop headers, which apply only to the connection on which a message arrived
/// and are not forwarded. This includes the headers named in its Connection header.
/// @param headers all headers of the message
void remove_hop_by_hop_headers(std::vector<http_header>& headers);

} // namespace medlaryoke::transport
