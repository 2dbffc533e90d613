#include "transport/datagram_socket.h"

#include "transport/asio_prelude.h"

#include <array>
#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/logging.h"
#include "transport/runtime_implementation.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t max_datagram_bytes = 64U * 1024U;

udp::endpoint parse_udp_address(const std::string& text)
{
    const auto parsed = parse_tcp_address(text);
    return {parsed.address(), parsed.port()};
}

} // namespace

class datagram_socket::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, const std::string& address, receiver receive)
        : socket_(asio::make_strand(context.impl().context)), receive_(std::move(receive))
    {
        try {
            const auto endpoint = parse_udp_address(address);
            this->socket_.open(endpoint.protocol());
            this->socket_.bind(endpoint);
            this->socket_.non_blocking(true);
        }
        catch (const boost::system::system_error& e) {
            throw error(error_kind::unavailable,
                        fmt::format("cannot bind UDP {}: {}", address, e.code().message()),
                        "Choose an address of this instance that is not in use.");
        }
    }

    void start_receive()
    {
        this->socket_.async_receive_from(
            asio::buffer(this->receive_buffer_), this->sender_,
            [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                self->on_received(ec, n);
            });
    }

    void send(std::string_view data, const std::string& address)
    {
        const std::scoped_lock lock(this->mutex_);
        auto it = this->endpoints_.find(address);
        if (it == this->endpoints_.end()) {
            it = this->endpoints_.emplace(address, parse_udp_address(address)).first;
        }
        error_code ec;
        this->socket_.send_to(asio::buffer(data.data(), data.size()), it->second, 0, ec);
        if (ec) {
            this->log_.debug("Cannot send a datagram to {}: {}.", address, ec.message());
        }
    }

    void close()
    {
        asio::post(this->socket_.get_executor(), [self = this->shared_from_this()] {
            error_code ec;
            self->socket_.close(ec);
        });
    }

    [[nodiscard]] std::string address() const
    {
        const auto endpoint = this->socket_.local_endpoint();
        return format_tcp_address({endpoint.address(), endpoint.port()});
    }

private:
    void on_received(const error_code& ec, std::size_t n)
    {
        if (ec == asio::error::operation_aborted || !this->socket_.is_open()) {
            return;
        }
        // An earlier send to a closed port is reported here as an error; later receives still work.
        if (!ec) {
            try {
                this->receive_(std::string_view(this->receive_buffer_.data(), n));
            }
            catch (const std::exception& e) {
                this->log_.error("The callback for a datagram failed: {}.", e.what());
            }
        }
        this->start_receive();
    }

    udp::socket socket_;
    receiver receive_;
    std::array<char, max_datagram_bytes> receive_buffer_{};
    udp::endpoint sender_;
    std::mutex mutex_;
    std::map<std::string, udp::endpoint> endpoints_;
    logger log_{"datagram"};
};

datagram_socket::datagram_socket(runtime& context, const std::string& address, receiver receive)
    : impl_(std::make_shared<implementation>(context, address, std::move(receive)))
{
    this->impl_->start_receive();
}

datagram_socket::~datagram_socket()
{
    this->impl_->close();
}

void datagram_socket::send(std::string_view data, const std::string& address)
{
    this->impl_->send(data, address);
}

std::string datagram_socket::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::transport
