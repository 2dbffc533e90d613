#include "transport/connection_check.h"

#include "transport/asio_prelude.h"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "transport/runtime_implementation.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// A connection that is being opened.
struct pending_check {
    explicit pending_check(asio::io_context& context) : socket(context) {}

    tcp::socket socket;
    timer_handle timeout;
};

connection_state to_state(const error_code& ec)
{
    if (!ec) {
        return connection_state::accepted;
    }
    return ec == asio::error::connection_refused ? connection_state::refused
                                                 : connection_state::no_answer;
}

} // namespace

void check_connection(runtime& context, const std::string& address, duration timeout,
                      std::function<void(connection_state)> done)
{
    const auto check = std::make_shared<pending_check>(context.impl().context);
    check->timeout = context.after(timeout, [check] {
        error_code ec;
        check->socket.close(ec); // ends the attempt with an error
    });
    check->socket.async_connect(parse_tcp_address(address),
                                [check, done = std::move(done)](const error_code& ec) {
                                    check->timeout.cancel();
                                    const auto result = to_state(ec);
                                    error_code ignored;
                                    check->socket.close(ignored);
                                    done(result);
                                });
}

} // namespace medlaryoke::transport
