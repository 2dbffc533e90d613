#pragma once

#include <string>

namespace medlaryoke::transport {

/// @param text such as `10.1.0.4:8080` or `[::1]:8080`
/// @return whether the text is an IP address and a port
bool is_address_and_port(const std::string& text);

} // namespace medlaryoke::transport
