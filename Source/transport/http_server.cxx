#include "transport/http_server.h"

#include "transport/asio_prelude.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include "base/duration_text.h"
#include "base/logging.h"
#include "transport/error_response.h"
#include "transport/moving_deadline.h"
#include "transport/runtime_implementation.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Each open connection holds one block while it waits, so the block is small.
constexpr std::size_t read_block_bytes = 4U * 1024U;
// After an early error reply the rest of the request is read and dropped for this long, because
// closing with unread data resets the connection and may destroy the reply.
constexpr auto linger_time = std::chrono::seconds(1);
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);

const logger& server_log()
{
    static const logger instance("http");
    return instance;
}

bool is_framing_header(const std::string& name)
{
    constexpr std::array<boost::beast::string_view, 4> framing_headers{
        "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"};
    return std::ranges::any_of(framing_headers,
                               [&name](auto other) { return boost::beast::iequals(name, other); });
}

std::string without_line_breaks(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return c == '\r' || c == '\n'; }, ' ');
    return text;
}

/// How the reply to the current request is framed.
struct reply_framing {
    bool old_version = false; ///< HTTP/1.0: no chunked coding
    bool head_only = false;   ///< the request method is HEAD
    bool keep_open = true;
};

std::string encode_head(const http_head& head, const reply_framing& framing,
                        std::optional<std::size_t> length)
{
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", head.status,
                            std::string_view(reason.data(), reason.size()));
    for (const auto& field : head.headers) {
        if (!is_framing_header(field.name)) {
            text += fmt::format("{}: {}\r\n", without_line_breaks(field.name),
                                without_line_breaks(field.value));
        }
    }
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    if (length) {
        if (head.status != no_content && head.status != not_modified) {
            text += fmt::format("Content-Length: {}\r\n", *length);
        }
    }
    else if (!framing.old_version) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += framing.keep_open ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

class server_stream;
class server_connection;

/// @return why the framing of a request is ambiguous or incomplete, empty if it is sound
std::optional<error> framing_fault(const http::request<http::string_body>& message)
{
    constexpr unsigned http_1_1 = 11;
    const auto hosts = message.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && message.version() >= http_1_1)) {
        return error(error_kind::invalid_argument,
                     fmt::format("request has {} Host headers instead of one", hosts),
                     "Send one Host header.");
    }
    const auto codings = message.count(http::field::transfer_encoding);
    if (codings == 0) {
        return std::nullopt;
    }
    // A coding that this server cannot undo would leave the body to be read as a next request.
    if (codings > 1 || !boost::beast::iequals(message[http::field::transfer_encoding], "chunked")) {
        return error(error_kind::invalid_argument, "request has an unknown Transfer-Encoding",
                     "Send the body with a Content-Length or as chunked.");
    }
    if (message.count(http::field::content_length) > 0) {
        return error(error_kind::invalid_argument,
                     "request has both Content-Length and Transfer-Encoding",
                     "Send only one of the two headers.");
    }
    return std::nullopt;
}

/// Makes the reply that reports an error with a status that its kind does not have.
http_response make_error_response_with_status(const error& failure, unsigned status)
{
    auto response = make_error_response(failure);
    response.head.status = status;
    return response;
}

/// The acceptor and the set of its connections.
struct server_state {
    std::atomic<std::shared_ptr<const http_server_options>> limits;
    http_handler handler;
    std::atomic<bool> draining = false;
    std::atomic<bool> serves_late = false; ///< while draining
    std::atomic<std::size_t> open = 0;
    std::mutex mutex;
    std::unordered_set<std::shared_ptr<server_connection>> connections;
    bool closed = false;
};

/// One accepted connection; all members are used on the strand of the socket only.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(tcp::socket socket, std::shared_ptr<server_state> state)
        : socket_(std::move(socket)),
          read_deadline_(socket_.get_executor(), [this] { this->read_expired(); }),
          write_deadline_(socket_.get_executor(), [this] { this->close(); }),
          state_(std::move(state))
    {
        ++this->state_->open;
    }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    server_connection(server_connection&&) = delete;
    server_connection& operator=(server_connection&&) = delete;
    ~server_connection() { --this->state_->open; }

    [[nodiscard]] asio::any_io_executor executor() { return this->socket_.get_executor(); }

    void start()
    {
        error_code ec;
        this->socket_.set_option(tcp::no_delay(true), ec);
        this->wait_for_request();
    }

    void close_if_idle()
    {
        if (this->phase_ == phase::idle && this->buffer_.size() == 0) {
            this->close();
        }
    }

    void close();

    // Called by the stream of the current request, on the strand.
    void send_whole(const http_response& response);
    void send_start(const http_head& head);
    void send_part(const std::string& data);
    void send_end();
    void break_off();

    std::atomic<std::size_t> queued_bytes = 0;

private:
    enum class phase { idle, receiving, handling, lingering, closed };

    void wait_for_request();
    void receive();
    void receive_body();
    void receive_failed(const error_code& ec);
    void refuse(const http_response& response);
    [[nodiscard]] std::shared_ptr<const http_server_options> limits() const
    {
        return this->state_->limits.load();
    }
    void read_expired();
    void hand_over();
    void watch();
    void watched(const error_code& ec, std::size_t n);
    void queue(std::string bytes);
    void write_queued();
    void wrote(const error_code& ec, std::size_t n);
    void reply_written();
    void linger();

    tcp::socket socket_;
    moving_deadline read_deadline_;
    moving_deadline write_deadline_;
    std::shared_ptr<server_state> state_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<http::request_parser<http::string_body>> parser_;
    std::weak_ptr<server_stream> stream_;
    reply_framing framing_;
    phase phase_ = phase::idle;
    bool watching_ = false;
    bool too_slow_ = false; ///< the current request did not arrive in time
    bool reply_ended_ = false;
    bool breaks_off_ = false; ///< closes after what is queued, without the end of the reply
    std::string outgoing_;
    std::string in_write_;
    bool writing_ = false;
};

/// The reply to one request. Holds no socket, so that it may outlive the runtime.
class server_stream final : public response_stream {
public:
    explicit server_stream(const std::shared_ptr<server_connection>& connection)
        : connection_(connection)
    {
    }
    server_stream(const server_stream&) = delete;
    server_stream& operator=(const server_stream&) = delete;
    server_stream(server_stream&&) = delete;
    server_stream& operator=(server_stream&&) = delete;

    ~server_stream() override
    {
        if (this->ended_) {
            return;
        }
        if (this->started_) {
            this->abort();
            return;
        }
        this->respond(make_error_response(error(error_kind::internal,
                                                "the request was dropped without a reply",
                                                "Report this fault to the operator."),
                                          "unknown"));
    }

    void respond(http_response response) override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || this->started_) {
            return;
        }
        this->end_locked();
        this->post([response = std::move(response)](server_connection& target) {
            target.send_whole(response);
        });
    }

    void start(http_head head) override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || this->started_) {
            return;
        }
        this->started_ = true;
        this->post(
            [head = std::move(head)](server_connection& target) { target.send_start(head); });
    }

    std::size_t write(std::string data) override
    {
        const std::scoped_lock lock(this->mutex_);
        const auto target = this->connection_.lock();
        if (this->ended_ || !this->started_ || !target) {
            return 0;
        }
        if (data.empty()) {
            return target->queued_bytes;
        }
        const auto n = data.size();
        const auto queued = target->queued_bytes.fetch_add(n) + n;
        this->post([data = std::move(data)](server_connection& connection) {
            connection.queued_bytes -= data.size();
            connection.send_part(data);
        });
        return queued;
    }

    void finish() override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || !this->started_) {
            return;
        }
        this->end_locked();
        this->post([](server_connection& target) { target.send_end(); });
    }

    void abort() override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_) {
            return;
        }
        this->end_locked();
        this->post([](server_connection& target) { target.break_off(); });
    }

    void on_closed(std::function<void()> fn) override
    {
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->ended_ && !this->client_gone_) {
                return;
            }
            if (!this->client_gone_) {
                this->on_closed_ = std::move(fn);
                return;
            }
        }
        fn();
    }

    /// Called by the connection when it closes before the reply has ended.
    void client_gone()
    {
        std::function<void()> fn;
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->ended_) {
                return;
            }
            this->client_gone_ = true;
            this->ended_ = true;
            fn = std::exchange(this->on_closed_, nullptr);
        }
        if (fn) {
            try {
                fn();
            }
            catch (const std::exception& e) {
                server_log().error("Handling a closed connection failed: {}.", e.what());
            }
        }
    }

private:
    void end_locked()
    {
        this->ended_ = true;
        this->on_closed_ = nullptr;
    }

    template <typename Function>
    void post(Function fn)
    {
        if (auto target = this->connection_.lock()) {
            auto executor = target->executor();
            asio::post(executor,
                       [target = std::move(target), fn = std::move(fn)]() mutable { fn(*target); });
        }
    }

    std::weak_ptr<server_connection> connection_;
    std::mutex mutex_;
    std::function<void()> on_closed_;
    bool started_ = false;
    bool ended_ = false;
    bool client_gone_ = false;
};

void server_connection::close()
{
    if (this->phase_ == phase::closed) {
        return;
    }
    this->phase_ = phase::closed;
    error_code ec;
    this->socket_.shutdown(tcp::socket::shutdown_both, ec);
    this->socket_.close(ec);
    this->read_deadline_.close();
    this->write_deadline_.close();
    if (const auto stream = this->stream_.lock()) {
        stream->client_gone();
    }
    this->stream_.reset();
    const std::scoped_lock lock(this->state_->mutex);
    this->state_->connections.erase(this->shared_from_this());
}

void server_connection::wait_for_request()
{
    this->phase_ = phase::idle;
    this->parser_.reset();
    if (this->buffer_.size() > 0) {
        if (this->watching_) {
            error_code ec;
            this->socket_.cancel(ec); // watched() goes on with the buffered request
            return;
        }
        this->receive();
        return;
    }
    if (this->state_->draining && !this->state_->serves_late) {
        this->close();
        return;
    }
    this->read_deadline_.set(this->limits()->idle_timeout, this->shared_from_this());
    this->watch();
}

void server_connection::watch()
{
    // A client that sends ahead without limit is read again after the reply.
    if (this->watching_ || this->buffer_.size() >= read_block_bytes) {
        return;
    }
    this->watching_ = true;
    this->socket_.async_read_some(
        this->buffer_.prepare(read_block_bytes),
        [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
            self->watched(ec, n);
        });
}

void server_connection::watched(const error_code& ec, std::size_t n)
{
    this->watching_ = false;
    if (this->phase_ == phase::closed) {
        return;
    }
    const bool cancelled = ec == asio::error::operation_aborted && this->buffer_.size() > 0;
    if (ec && !cancelled) {
        this->close();
        return;
    }
    this->buffer_.commit(n);
    if (this->phase_ == phase::idle) {
        this->receive();
    }
    else if (this->phase_ == phase::lingering) {
        this->buffer_.clear();
        this->watch();
    }
    else {
        this->watch();
    }
}

void server_connection::receive()
{
    this->phase_ = phase::receiving;
    this->too_slow_ = false;
    this->framing_ = {};
    this->parser_ = std::make_unique<http::request_parser<http::string_body>>();
    const auto limits = this->limits();
    this->parser_->header_limit(static_cast<std::uint32_t>(limits->max_header_bytes));
    this->parser_->body_limit(limits->max_body_bytes);
    this->read_deadline_.set(limits->header_timeout, this->shared_from_this());
    http::async_read_header(
        this->socket_, this->buffer_, *this->parser_,
        [self = this->shared_from_this()](const error_code& ec, std::size_t) {
            if (self->phase_ == phase::closed) {
                return;
            }
            if (ec) {
                self->receive_failed(ec);
                return;
            }
            if (const auto fault = framing_fault(self->parser_->get())) {
                self->refuse(make_error_response(*fault));
                return;
            }
            if (boost::beast::iequals(self->parser_->get()[http::field::expect], "100-continue")) {
                self->queue("HTTP/1.1 100 Continue\r\n\r\n");
            }
            self->read_deadline_.set(self->limits()->request_timeout, self);
            self->receive_body();
        });
}

void server_connection::receive_body()
{
    http::async_read(this->socket_, this->buffer_, *this->parser_,
                     [self = this->shared_from_this()](const error_code& ec, std::size_t) {
                         if (self->phase_ == phase::closed) {
                             return;
                         }
                         if (ec) {
                             self->receive_failed(ec);
                             return;
                         }
                         self->hand_over();
                     });
}

void server_connection::read_expired()
{
    if (this->phase_ != phase::receiving) {
        this->close();
        return;
    }
    this->too_slow_ = true;
    error_code ec;
    this->socket_.cancel(ec); // the pending read ends in receive_failed
}

void server_connection::refuse(const http_response& response)
{
    this->framing_.keep_open = false;
    this->phase_ = phase::handling;
    this->send_whole(response);
}

void server_connection::receive_failed(const error_code& ec)
{
    constexpr unsigned request_timeout_status = 408;
    constexpr unsigned header_too_large_status = 431;
    const auto limits = this->limits();
    if (this->too_slow_) {
        this->refuse(make_error_response_with_status(
            error(error_kind::deadline_exceeded,
                  fmt::format("request head did not arrive within {}, or its body within {} more",
                              format_duration(limits->header_timeout),
                              format_duration(limits->request_timeout)),
                  "Send the whole request at once."),
            request_timeout_status));
    }
    else if (ec == http::error::header_limit) {
        this->refuse(make_error_response_with_status(
            error(error_kind::too_large,
                  fmt::format("request header exceeds the limit of {} bytes",
                              limits->max_header_bytes),
                  "Send fewer or shorter header fields."),
            header_too_large_status));
    }
    else if (ec == http::error::body_limit) {
        this->refuse(make_error_response(
            error(error_kind::too_large,
                  fmt::format("request body exceeds the limit of {} bytes", limits->max_body_bytes),
                  "Send a smaller request body.")));
    }
    else if (ec.category() == http::make_error_code(http::error::bad_method).category() &&
             ec != http::error::end_of_stream && ec != http::error::partial_message) {
        this->refuse(make_error_response(
            error(error_kind::invalid_argument,
                  fmt::format("request is not valid HTTP/1.1: {}", ec.message()),
                  "Send a well-formed HTTP/1.1 request.")));
    }
    else {
        this->close();
    }
}

void server_connection::hand_over()
{
    this->phase_ = phase::handling;
    this->read_deadline_.clear();
    this->reply_ended_ = false;
    auto message = this->parser_->release();
    const auto text = [](boost::beast::string_view view) {
        return std::string(view.data(), view.size());
    };
    constexpr unsigned http_1_1 = 11;
    this->framing_.old_version = message.version() < http_1_1;
    this->framing_.head_only = message.method() == http::verb::head;
    this->framing_.keep_open = message.keep_alive() && !this->framing_.old_version;
    http_request request{text(message.method_string()), text(message.target()), {}, {}};
    for (const auto& field : message) {
        request.headers.push_back({text(field.name_string()), text(field.value())});
    }
    request.body = std::move(message.body());
    this->watch();
    const auto stream = std::make_shared<server_stream>(this->shared_from_this());
    this->stream_ = stream;
    try {
        this->state_->handler(std::move(request), stream);
    }
    catch (const error& e) {
        stream->respond(make_error_response(e, e.kind() == error_kind::outcome_unknown ||
                                                       e.kind() == error_kind::internal
                                                   ? "unknown"
                                                   : "not-run"));
    }
    catch (const std::exception& e) {
        server_log().error("A request handler failed: {}.", e.what());
        stream->respond(make_error_response(
            error(error_kind::internal, e.what(), "Report this fault to the operator."),
            "unknown"));
    }
}

void server_connection::send_whole(const http_response& response)
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->framing_.keep_open = this->framing_.keep_open && !this->state_->draining;
    auto bytes = encode_head(response.head, this->framing_, response.body.size());
    if (!this->framing_.head_only) {
        bytes += response.body;
    }
    this->reply_ended_ = true;
    this->queue(std::move(bytes));
}

void server_connection::send_start(const http_head& head)
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->framing_.keep_open =
        this->framing_.keep_open && !this->state_->draining && !this->framing_.old_version;
    this->queue(encode_head(head, this->framing_, std::nullopt));
}

void server_connection::send_part(const std::string& data)
{
    if (this->phase_ != phase::handling || this->framing_.head_only) {
        return;
    }
    this->queue(this->framing_.old_version ? data
                                           : fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void server_connection::send_end()
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->reply_ended_ = true;
    this->queue(this->framing_.old_version || this->framing_.head_only ? "" : "0\r\n\r\n");
}

void server_connection::break_off()
{
    this->breaks_off_ = true;
    this->write_queued();
}

void server_connection::queue(std::string bytes)
{
    this->queued_bytes += bytes.size();
    if (this->outgoing_.empty()) {
        this->outgoing_ = std::move(bytes);
    }
    else {
        this->outgoing_ += bytes;
    }
    this->write_queued();
}

void server_connection::write_queued()
{
    if (this->writing_ || this->phase_ == phase::closed) {
        return;
    }
    if (this->outgoing_.empty()) {
        if (this->breaks_off_) {
            this->close();
        }
        else if (this->reply_ended_ && this->phase_ == phase::handling) {
            this->reply_written();
        }
        return;
    }
    this->writing_ = true;
    this->in_write_ = std::exchange(this->outgoing_, {});
    this->write_deadline_.set(this->limits()->write_timeout, this->shared_from_this());
    asio::async_write(this->socket_, asio::buffer(this->in_write_),
                      [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                          self->wrote(ec, n);
                      });
}

void server_connection::wrote(const error_code& ec, std::size_t)
{
    this->writing_ = false;
    this->queued_bytes -= this->in_write_.size();
    if (this->phase_ == phase::closed) {
        return;
    }
    if (ec) {
        this->close();
        return;
    }
    this->write_deadline_.clear();
    this->write_queued();
}

void server_connection::reply_written()
{
    this->reply_ended_ = false;
    this->stream_.reset();
    if (!this->framing_.keep_open) {
        this->linger();
        return;
    }
    this->wait_for_request();
}

void server_connection::linger()
{
    this->phase_ = phase::lingering;
    error_code ec;
    this->socket_.shutdown(tcp::socket::shutdown_send, ec);
    this->buffer_.clear();
    this->read_deadline_.set(linger_time, this->shared_from_this());
    this->watch();
}

} // namespace

/// Accepts connections on the strand of the acceptor.
class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, const http_server_options& options, http_handler handler)
        : context_(context.impl().context), acceptor_(asio::make_strand(context_)),
          retry_timer_(acceptor_.get_executor()), state_(std::make_shared<server_state>())
    {
        const auto endpoint = parse_tcp_address(options.address);
        this->state_->limits = std::make_shared<const http_server_options>(options);
        this->state_->handler = std::move(handler);
        try {
            this->acceptor_.open(endpoint.protocol());
            this->acceptor_.set_option(tcp::acceptor::reuse_address(true));
            this->acceptor_.bind(endpoint);
            this->acceptor_.listen();
            this->address_ = format_tcp_address(this->acceptor_.local_endpoint());
        }
        catch (const boost::system::system_error& e) {
            throw error(error_kind::unavailable,
                        fmt::format("cannot listen on {}: {}", options.address, e.code().message()),
                        "Choose an address of this instance that is not in use.");
        }
    }

    void accept()
    {
        this->acceptor_.async_accept(
            asio::make_strand(this->context_),
            [self = this->shared_from_this()](const error_code& ec, tcp::socket socket) {
                self->accepted(ec, std::move(socket));
            });
    }

    void set_limits(http_server_options options)
    {
        this->state_->limits = std::make_shared<const http_server_options>(std::move(options));
    }

    void drain(drain_mode mode)
    {
        this->state_->serves_late = mode == drain_mode::serve_late;
        this->state_->draining = true;
        if (mode == drain_mode::serve_late) {
            return;
        }
        asio::post(this->acceptor_.get_executor(), [self = this->shared_from_this()] {
            error_code ec;
            self->acceptor_.close(ec);
            self->retry_timer_.cancel();
        });
        this->for_each_connection([](server_connection& target) { target.close_if_idle(); });
    }

    void close()
    {
        this->drain(drain_mode::refuse_new);
        std::unordered_set<std::shared_ptr<server_connection>> connections;
        {
            const std::scoped_lock lock(this->state_->mutex);
            this->state_->closed = true;
            connections.swap(this->state_->connections);
        }
        for (const auto& connection : connections) {
            asio::post(connection->executor(), [connection] { connection->close(); });
        }
    }

    [[nodiscard]] const std::string& address() const { return this->address_; }
    [[nodiscard]] std::size_t open_connections() const { return this->state_->open; }

private:
    void accepted(const error_code& ec, tcp::socket socket)
    {
        if (!this->acceptor_.is_open()) {
            return;
        }
        if (ec) {
            server_log().warning("Cannot accept a connection on {}: {}.", this->address_,
                                 ec.message());
            this->retry_timer_.expires_after(accept_retry_delay);
            this->retry_timer_.async_wait([self = this->shared_from_this()](const error_code& e) {
                if (!e) {
                    self->accept();
                }
            });
            return;
        }
        const auto connection =
            std::make_shared<server_connection>(std::move(socket), this->state_);
        {
            const std::scoped_lock lock(this->state_->mutex);
            if (this->state_->closed) {
                return;
            }
            this->state_->connections.insert(connection);
        }
        asio::post(connection->executor(), [connection] { connection->start(); });
        this->accept();
    }

    template <typename Function>
    void for_each_connection(Function fn)
    {
        const std::scoped_lock lock(this->state_->mutex);
        for (const auto& connection : this->state_->connections) {
            asio::post(connection->executor(), [connection, fn] { fn(*connection); });
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    std::shared_ptr<server_state> state_;
    std::string address_;
};

http_server::http_server(runtime& context, const http_server_options& options, http_handler handler)
    : impl_(std::make_shared<implementation>(context, options, std::move(handler)))
{
    this->impl_->accept();
}

http_server::~http_server()
{
    this->impl_->close();
}

std::string http_server::address() const
{
    return this->impl_->address();
}

void http_server::drain(drain_mode mode)
{
    this->impl_->drain(mode);
}

void http_server::set_limits(http_server_options options)
{
    this->impl_->set_limits(std::move(options));
}

std::size_t http_server::open_connections() const
{
    return this->impl_->open_connections();
}

} // namespace medlaryoke::transport
