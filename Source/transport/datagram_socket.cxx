#include "transport/datagram_socket.h"

#include "transport/asio_prelude.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/event_log.h"
#include "base/logging.h"
#include "transport/runtime_implementation.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t max_datagram_bytes = 64U * 1024U;

// Every so many failed attempts to bind the address are logged, from the first one on.
constexpr unsigned attempts_per_log_line = 100;

udp::endpoint parse_udp_address(const std::string& text)
{
    const auto parsed = parse_tcp_address(text);
    return {parsed.address(), parsed.port()};
}

} // namespace

class datagram_socket::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, const std::string& address, receiver receive,
                   duration bind_retry_interval)
        : socket_(asio::make_strand(context.impl().context)), retry_timer_(socket_.get_executor()),
          bind_retry_interval_(bind_retry_interval), endpoint_(parse_udp_address(address)),
          receive_(std::move(receive))
    {
        this->bind();
        if (!this->bound_ && this->bind_retry_interval_ <= duration::zero()) {
            throw error(error_kind::unavailable,
                        fmt::format("cannot bind UDP {}: {}", address, this->bind_error_.message()),
                        "Choose an address of this instance that is not in use.");
        }
    }

    void start()
    {
        if (this->bound_) {
            this->start_receive();
            return;
        }
        this->bind_later();
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
        if (!this->bound_) {
            return;
        }
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
            self->closed_ = true;
            self->socket_.close(ec);
            self->retry_timer_.cancel();
        });
    }

    [[nodiscard]] bool is_bound() const { return this->bound_; }

    [[nodiscard]] std::string address() const
    {
        error_code ec;
        const auto endpoint = this->socket_.local_endpoint(ec);
        return format_tcp_address({endpoint.address(), endpoint.port()});
    }

private:
    [[nodiscard]] std::string bind_address() const
    {
        return format_tcp_address({this->endpoint_.address(), this->endpoint_.port()});
    }

    /// Opens and binds; on failure, the socket stays closed and bind_error_ is set.
    void bind()
    {
        try {
            this->socket_.open(this->endpoint_.protocol());
            this->socket_.bind(this->endpoint_);
            this->socket_.non_blocking(true);
            this->bound_ = true;
        }
        catch (const boost::system::system_error& e) {
            this->bind_error_ = e.code();
            error_code ec;
            this->socket_.close(ec);
        }
    }

    void bind_later()
    {
        if (this->failed_attempts_++ % attempts_per_log_line == 0) {
            this->events_.note(log_level::warning, "address cannot be bound, trying again",
                               {{"address", this->bind_address()},
                                {"transport", "UDP"},
                                {"reason", this->bind_error_.message()}});
        }
        this->retry_timer_.expires_after(this->bind_retry_interval_);
        this->retry_timer_.async_wait([self = this->shared_from_this()](const error_code& ec) {
            if (ec || self->closed_) {
                return;
            }
            self->bind();
            if (!self->bound_) {
                self->bind_later();
                return;
            }
            self->events_.note(log_level::info, "address was bound",
                               {{"address", self->bind_address()}, {"transport", "UDP"}});
            self->start_receive();
        });
    }

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
    asio::steady_timer retry_timer_;
    duration bind_retry_interval_;
    udp::endpoint endpoint_; ///< to be bound
    error_code bind_error_;  ///< of the last attempt
    unsigned failed_attempts_ = 0;
    std::atomic<bool> bound_ = false;
    bool closed_ = false; ///< used on the socket's strand
    receiver receive_;
    std::array<char, max_datagram_bytes> receive_buffer_{};
    udp::endpoint sender_;
    std::mutex mutex_;
    std::map<std::string, udp::endpoint> endpoints_;
    logger log_{"datagram"};
    event_log events_{"datagram"};
};

datagram_socket::datagram_socket(runtime& context, const std::string& address, receiver receive,
                                 duration bind_retry_interval)
    : impl_(std::make_shared<implementation>(context, address, std::move(receive),
                                             bind_retry_interval))
{
    this->impl_->start();
}

datagram_socket::~datagram_socket()
{
    this->impl_->close();
}

void datagram_socket::send(std::string_view data, const std::string& address)
{
    this->impl_->send(data, address);
}

bool datagram_socket::is_bound() const
{
    return this->impl_->is_bound();
}

std::string datagram_socket::address() const
{
    return this->impl_->address();
}

} // namespace medlaryoke::transport
