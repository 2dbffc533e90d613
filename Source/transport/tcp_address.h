#pragma once

#include "transport/asio_prelude.h"

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace medlaryoke::transport {

/// Parses an IP address and port; only for the sources of this folder.
/// @param text such as `127.0.0.1:80` or `[::1]:80`
/// @return the endpoint
/// @throws error of kind invalid_argument if the text is not an IP address and port
boost::asio::ip::tcp::endpoint parse_tcp_address(const std::string& text);

/// @param endpoint the endpoint to print
/// @return the text that parse_tcp_address accepts
std::string format_tcp_address(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace medlaryoke::transport
