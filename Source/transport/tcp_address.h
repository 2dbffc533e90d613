#pragma once

#include "transport/asio_prelude.h"

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace medlaryoke::transport {

/// Parses an IP address and port. Internal to this directory.
/// @param text such as `127.0.0.1:80` or `[::1]:80`
/// @return the endpoint
/// @throws error of kind invalid_argument if the text is not an IP address and port
boost::asio::ip::tcp::endpoint parse_tcp_address(const std::string& text);

/// Formats an IP address and port.
/// @param endpoint the endpoint
/// @return text that parse_tcp_address accepts, such as `127.0.0.1:80` or `[::1]:80`
std::string format_tcp_address(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace medlaryoke::transport
