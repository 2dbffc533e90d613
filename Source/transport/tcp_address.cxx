#include "transport/tcp_address.h"

#include <charconv>
#include <cstdint>

#include <fmt/format.h>

#include "base/error.h"

namespace medlaryoke::transport {

boost::asio::ip::tcp::endpoint parse_tcp_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto* first = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const auto* last = text.data() + text.size();
    const auto [end, port_error] = std::from_chars(first, last, port);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(host, ec);
    if (ec || port_error != std::errc{} || end != last) {
        throw error(error_kind::invalid_argument,
                    fmt::format("address \"{}\" is not an IP address and port", text),
                    "Write the address like 127.0.0.1:8080.");
    }
    return {address, port};
}

std::string format_tcp_address(const boost::asio::ip::tcp::endpoint& endpoint)
{
    const auto host = endpoint.address().to_string();
    return endpoint.address().is_v6() ? fmt::format("[{}]:{}", host, endpoint.port())
                                      : fmt::format("{}:{}", host, endpoint.port());
}

} // namespace medlaryoke::transport
