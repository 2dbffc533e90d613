#pragma once

#include <string_view>

namespace medlaryoke::transport {

/// @return whether two header names are the same; case does not matter
bool same_name(std::string_view a, std::string_view b);

/// Tells whether a header concerns only the connection it came on and is not forwarded.
/// @param name the header's name
/// @param connection value of the Connection header of the same message, which may name more
bool concerns_connection(std::string_view name, std::string_view connection);

} // namespace medlaryoke::transport
