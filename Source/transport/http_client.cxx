#include "transport/http_client.h"

#include "transport/asio_prelude.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <exception>
#include <limits>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/http_status.h"
#include "base/logging.h"
#include "transport/moving_deadline.h"
#include "transport/runtime_implementation.h"
#include "transport/tcp_address.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint32_t max_reply_header_bytes = 64U * 1024U;
// Bounds what a reader holds that waits for the end of a head, a chunk header or a trailer.
constexpr std::size_t max_unparsed_bytes = 2U * max_reply_header_bytes;
// Bytes of replies to other requests after which no reply to this one is expected any more.
constexpr std::size_t max_skipped_bytes = 1024U * 1024U;
constexpr std::size_t skipped_bytes_of_a_head = 64; // counted for its smallest size
constexpr unsigned max_interim_replies = 16;        // 1xx replies before the final one
constexpr std::size_t body_buffer_bytes = 16U * 1024U;

std::string encode_request(const http_request& request, const std::string& address)
{
    auto text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (find_header(request.headers, "Host").empty()) {
        text += fmt::format("Host: {}\r\n", address);
    }
    for (const auto& field : request.headers) {
        text += fmt::format("{}: {}\r\n", field.name, field.value);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    text += "\r\n";
    text += request.body;
    return text;
}

/// @return whether the request contains characters that could inject a header or a second request:
/// line breaks, or a space in the target
bool has_forbidden_characters(const http_request& request)
{
    const auto has_line_break = [](const std::string& text) {
        return text.find_first_of("\r\n") != std::string::npos;
    };
    return has_line_break(request.method) || has_line_break(request.target) ||
           request.target.find(' ') != std::string::npos ||
           std::ranges::any_of(request.headers, [&has_line_break](const http_header& field) {
               return has_line_break(field.name) || has_line_break(field.value);
           });
}

/// An idle connection is closed this long before the server's `Keep-Alive` timeout, so that no
/// request is sent while the server is closing it. The timeout has a resolution of one second; the
/// margin covers a round trip and a late timer.
constexpr auto keep_alive_margin = std::chrono::milliseconds(500);

// If a request is cancelled after waiting this long without a byte of the reply, its connection may
// be dead although it is still open. The idle connections are then closed as well, because a new
// connection costs less than another lost request.
constexpr auto dead_connection_threshold = std::chrono::milliseconds(500);

/// @return how long the server keeps an idle connection open, empty if the reply has no valid
/// `Keep-Alive` timeout
std::optional<duration> parse_keep_alive_timeout(const http_head& head)
{
    constexpr std::string_view key = "timeout=";
    const auto value = find_header(head.headers, "Keep-Alive");
    const auto at = value.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + key.size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/// Checks a head before anything is done with it: an engine in trouble may send any number as its
/// status, and what follows such a head is no answer.
/// @return why the reply cannot be used; empty if it can
template <bool IsRequest, typename Fields>
std::string find_fault(const http::header<IsRequest, Fields>& head)
{
    constexpr unsigned first_interim_status = 100;
    constexpr unsigned last_interim_status = 199;
    constexpr unsigned switching_protocols = 101;
    const auto status = head.result_int();
    const bool is_interim = status >= first_interim_status && status <= last_interim_status;
    if (!is_interim && !is_final_status(status)) {
        return fmt::format("the reply has the status {:03}, which HTTP does not have", status);
    }
    if (status == switching_protocols) {
        return "the reply changes to another protocol, which was not asked for";
    }
    const auto codings = head.equal_range(http::field::transfer_encoding);
    if (std::any_of(codings.first, codings.second, [](const auto& field) {
            return !boost::beast::iequals(field.value(), "chunked");
        })) {
        return "the reply has a transfer coding other than chunked";
    }
    return {};
}

/// @param descriptor of a TCP socket
/// @return state of its connection, such as TCP_CLOSE_WAIT after the peer has ended its direction
/// and TCP_CLOSE after a reset; empty if the system does not tell
std::optional<int> tcp_state(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
               ? std::optional<int>(info.tcpi_state)
               : std::nullopt;
}

/// Runs a callback and logs its exceptions, which would otherwise end the worker thread.
template <typename Function>
void run_callback(Function fn)
{
    static const logger log("http");
    try {
        fn();
    }
    catch (const std::exception& e) {
        log.error("A callback of an HTTP exchange failed: {}.", e.what());
    }
}

class client_connection;

/// The connections of one client: idle ones kept for reuse and busy ones.
struct client_pool {
    client_pool(asio::io_context& io, tcp::endpoint server_endpoint, std::string server_address,
                std::size_t max_idle_count, duration max_idle_duration)
        : context(io), endpoint(std::move(server_endpoint)), address(std::move(server_address)),
          max_idle(max_idle_count), max_idle_time(max_idle_duration)
    {
    }

    asio::io_context& context;
    tcp::endpoint endpoint;
    std::string address;
    std::size_t max_idle; ///< largest number of idle connections
    duration max_idle_time;
    std::mutex mutex;
    std::vector<std::shared_ptr<client_connection>> idle; ///< most recently used last
    std::unordered_set<std::shared_ptr<client_connection>> busy;
    bool closed = false;
};

/// Delivers the events of one exchange to the caller. Holds no socket, so that it may outlive the
/// runtime.
class client_exchange final : public http_exchange,
                              public std::enable_shared_from_this<client_exchange> {
public:
    client_exchange(http_events events, std::shared_ptr<const std::atomic<bool>> client_closed)
        : events_(std::move(events)), client_closed_(std::move(client_closed))
    {
    }

    void cancel() override;

    void attach(const std::shared_ptr<client_connection>& connection)
    {
        const std::scoped_lock lock(this->mutex_);
        this->connection_ = connection;
    }

    [[nodiscard]] bool has_ended() const { return this->ended_ || *this->client_closed_; }

    [[nodiscard]] bool accepts_reply(const http_head& head)
    {
        if (this->has_ended() || !this->events_.is_matching_reply) {
            return true;
        }
        bool accepted = false;
        run_callback([&] { accepted = this->events_.is_matching_reply(head); });
        return accepted;
    }

    void deliver_head(const http_head& head)
    {
        if (!this->has_ended() && this->events_.on_head) {
            run_callback([&] { this->events_.on_head(head); });
        }
    }

    void deliver_data(std::string data)
    {
        if (!this->has_ended() && this->events_.on_data) {
            run_callback([&] { this->events_.on_data(std::move(data)); });
        }
    }

    void deliver_end()
    {
        if (this->mark_ended() && this->events_.on_end) {
            run_callback([&] { this->events_.on_end(); });
        }
    }

    void deliver_failure(const http_failure& failure)
    {
        if (this->mark_ended() && this->events_.on_failure) {
            run_callback([&] { this->events_.on_failure(failure); });
        }
    }

private:
    /// @return whether this call ended the exchange
    bool mark_ended() { return !this->ended_.exchange(true) && !*this->client_closed_; }

    http_events events_;
    std::shared_ptr<const std::atomic<bool>> client_closed_;
    std::atomic<bool> ended_ = false;
    std::mutex mutex_;
    std::weak_ptr<client_connection> connection_;
};

/// One connection. Members other than `idle_until` and the socket's executor are used on the strand
/// of the socket only.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    explicit client_connection(std::shared_ptr<client_pool> pool)
        : pool_(std::move(pool)), socket_(asio::make_strand(pool_->context)),
          deadline_(socket_.get_executor(), [this] { this->on_timeout(); })
    {
    }

    [[nodiscard]] asio::any_io_executor executor() { return this->socket_.get_executor(); }

    void run(std::string bytes, bool head_only, const http_timeouts& timeouts,
             std::shared_ptr<client_exchange> exchange);

    void cancel(const client_exchange* exchange);
    void close();

    /// Closes the connection with a reset, which withdraws a request that is on its way.
    void abort();

    // When the connection expires; guarded by the mutex of the pool while the connection is idle.
    time_point idle_until{};

private:
    enum class phase { unconnected, connecting, exchanging, idle, closed };

    void connect();
    void write();
    void on_written(const error_code& ec, std::size_t n);
    void await_readable();
    void on_readable(const error_code& ec);
    void read_head();
    void on_head_read(const error_code& ec);
    void read_body();
    void on_body_read(const error_code& ec);
    void complete_reply();
    void fail(error_kind kind, const std::string& what, exchange_end end = exchange_end::other);
    void fail_reading(const error_code& ec);
    void on_timeout();
    void start_timeout(duration timeout, std::string_view activity);
    void close_idle_connections();
    [[nodiscard]] bool is_stale();
    void end_with_connection();

    std::shared_ptr<client_pool> pool_;
    tcp::socket socket_;
    moving_deadline deadline_;
    duration current_timeout_{};
    std::string_view timed_activity_; ///< what the running timeout bounds, for messages
    phase phase_ = phase::unconnected;
    std::shared_ptr<client_exchange> exchange_;
    http_timeouts timeouts_;
    std::string request_bytes_;
    bool head_only_ = false;
    bool writing_ = false;
    error_code write_error_; ///< of the request, empty if it was written
    bool read_to_end_ =
        false; ///< the reply has ended with its connection before the request was written
    bool maybe_sent_ = false;
    bool awaiting_readable_ = false;
    bool reading_reply_ = false;
    bool skipping_reply_ = false; ///< the reply being read belongs to another request
    bool desynchronised_ = false; ///< such a reply was read; the connection is not reused
    time_point started_at_{};     ///< when the request was given to this connection
    std::optional<duration> server_idle_timeout_; ///< from the `Keep-Alive` header
    unsigned interim_replies_ = 0;                ///< 1xx replies to the current request
    std::size_t skipped_bytes_ = 0;               ///< bytes of replies to other requests
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
    std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
    std::array<char, body_buffer_bytes> body_buffer_{};
};

void client_exchange::cancel()
{
    this->ended_ = true;
    std::shared_ptr<client_connection> target;
    {
        const std::scoped_lock lock(this->mutex_);
        target = this->connection_.lock();
    }
    if (target) {
        auto executor = target->executor();
        asio::post(executor, [target = std::move(target), self = this->shared_from_this()] {
            target->cancel(self.get());
        });
    }
}

void client_connection::start_timeout(duration timeout, std::string_view activity)
{
    const auto& total = this->timeouts_.total;
    const auto left = this->started_at_ + total - std::chrono::steady_clock::now();
    const bool is_total = total > duration::zero() && left < timeout;
    this->current_timeout_ = is_total ? total : timeout;
    this->timed_activity_ = is_total ? "the whole exchange" : activity;
    this->deadline_.set(is_total ? std::max<duration>(left, duration::zero()) : timeout,
                        this->shared_from_this());
}

void client_connection::on_timeout()
{
    if (this->phase_ != phase::connecting && this->phase_ != phase::exchanging) {
        return;
    }
    this->close_idle_connections();
    this->fail(
        error_kind::deadline_exceeded,
        fmt::format(
            "{} took longer than {} ms", this->timed_activity_,
            std::chrono::duration_cast<std::chrono::milliseconds>(this->current_timeout_).count()));
}

void client_connection::cancel(const client_exchange* exchange)
{
    if (this->exchange_.get() != exchange) {
        return;
    }
    const bool awaiting_reply = this->phase_ == phase::exchanging && !this->reading_reply_;
    if (awaiting_reply &&
        std::chrono::steady_clock::now() - this->started_at_ >= dead_connection_threshold) {
        this->close_idle_connections();
    }
    this->abort();
}

void client_connection::close_idle_connections()
{
    // Connections to one server often become dead at the same time, so the idle ones are not
    // reused.
    std::vector<std::shared_ptr<client_connection>> closing;
    {
        const std::scoped_lock lock(this->pool_->mutex);
        closing.swap(this->pool_->idle);
    }
    for (const auto& connection : closing) {
        asio::post(connection->executor(), [connection] { connection->close(); });
    }
}

void client_connection::close()
{
    if (this->phase_ == phase::closed) {
        return;
    }
    this->phase_ = phase::closed;
    error_code ec;
    this->socket_.close(ec);
    this->deadline_.close();
    const auto exchange = std::exchange(this->exchange_, nullptr);
    {
        const std::scoped_lock lock(this->pool_->mutex);
        std::erase(this->pool_->idle, this->shared_from_this());
        this->pool_->busy.erase(this->shared_from_this());
    }
}

void client_connection::abort()
{
    // A reset, so that a server that has not read the request yet never does.
    error_code ec;
    this->socket_.set_option(asio::socket_base::linger(true, 0), ec);
    this->close();
}

void client_connection::fail(error_kind kind, const std::string& what, exchange_end end)
{
    const auto exchange = this->exchange_;
    const auto maybe_sent = this->maybe_sent_;
    this->abort();
    if (exchange) {
        exchange->deliver_failure(
            {kind, fmt::format("{}: {}", this->pool_->address, what), maybe_sent, end});
    }
}

void client_connection::fail_reading(const error_code& ec)
{
    const bool is_closed = ec == asio::error::eof || ec == asio::error::connection_reset ||
                           ec == asio::error::broken_pipe || ec == http::error::end_of_stream ||
                           ec == http::error::partial_message;
    this->fail(error_kind::unavailable, "cannot read the reply: " + ec.message(),
               is_closed ? exchange_end::connection_closed : exchange_end::other);
}

bool client_connection::is_stale()
{
    // An idle connection that is readable was closed by the server or received an unexpected reply.
    char byte = 0;
    error_code ec;
    this->socket_.non_blocking(true, ec);
    this->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

void client_connection::run(std::string bytes, bool head_only, const http_timeouts& timeouts,
                            std::shared_ptr<client_exchange> exchange)
{
    if (exchange->has_ended()) {
        this->close();
        return;
    }
    this->request_bytes_ = std::move(bytes);
    this->head_only_ = head_only;
    this->timeouts_ = timeouts;
    this->exchange_ = std::move(exchange);
    this->maybe_sent_ = false;
    this->interim_replies_ = 0;
    this->skipped_bytes_ = 0;
    this->started_at_ = std::chrono::steady_clock::now();
    if (this->phase_ == phase::idle && !this->is_stale()) {
        this->phase_ = phase::exchanging;
        this->write();
        return;
    }
    if (this->phase_ == phase::closed || this->phase_ == phase::idle) {
        // Nothing was sent on this connection, so the request can move to a new one.
        const auto replacement = std::make_shared<client_connection>(this->pool_);
        const auto moved_exchange = std::exchange(this->exchange_, nullptr);
        this->close();
        {
            const std::scoped_lock lock(this->pool_->mutex);
            if (!this->pool_->closed) {
                this->pool_->busy.insert(replacement);
            }
        }
        moved_exchange->attach(replacement);
        asio::post(
            replacement->executor(), [replacement, moved_exchange, timeouts, head_only,
                                      request_bytes = std::move(this->request_bytes_)]() mutable {
                replacement->run(std::move(request_bytes), head_only, timeouts, moved_exchange);
            });
        return;
    }
    this->connect();
}

void client_connection::connect()
{
    this->phase_ = phase::connecting;
    this->start_timeout(this->timeouts_.connect, "connecting");
    this->socket_.async_connect(
        this->pool_->endpoint, [self = this->shared_from_this()](const error_code& ec) {
            if (self->phase_ != phase::connecting) {
                return;
            }
            if (ec) {
                self->fail(error_kind::unavailable, "cannot connect: " + ec.message(),
                           ec == asio::error::connection_refused ? exchange_end::connection_refused
                                                                 : exchange_end::other);
                return;
            }
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->phase_ = phase::exchanging;
            self->write();
        });
}

void client_connection::write()
{
    this->writing_ = true;
    this->write_error_ = {};
    this->read_to_end_ = false;
    this->parser_.reset();
    this->start_timeout(this->timeouts_.write, "sending the request");
    asio::async_write(this->socket_, asio::buffer(this->request_bytes_),
                      [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                          self->on_written(ec, n);
                      });
    // Part of the request may be sent before the write completes or fails.
    this->maybe_sent_ = true;
    this->await_readable();
}

void client_connection::on_written(const error_code& ec, std::size_t n)
{
    this->writing_ = false;
    if (this->phase_ != phase::exchanging) {
        return;
    }
    if (ec && n == 0) {
        this->maybe_sent_ = false;
        this->fail(error_kind::unavailable, "cannot send the request: " + ec.message());
        return;
    }
    // A server may reject a request before it has read all of it, so its reply is still read.
    this->write_error_ = ec;
    if (this->read_to_end_) {
        this->end_with_connection();
        return;
    }
    if (!this->reading_reply_) {
        this->start_timeout(this->timeouts_.first_byte, "waiting for the reply");
    }
}

void client_connection::await_readable()
{
    if (this->awaiting_readable_) {
        return;
    }
    this->awaiting_readable_ = true;
    this->socket_.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](const error_code& ec) { self->on_readable(ec); });
}

void client_connection::on_readable(const error_code& ec)
{
    this->awaiting_readable_ = false;
    if (this->phase_ == phase::closed) {
        return;
    }
    if (this->phase_ == phase::idle) {
        // The notification may refer to bytes that have already been read.
        if (ec || this->is_stale()) {
            this->close();
        }
        else {
            this->await_readable();
        }
        return;
    }
    if (ec) {
        this->fail(error_kind::unavailable, ec.message());
        return;
    }
    this->read_head();
}

void client_connection::read_head()
{
    this->reading_reply_ = true;
    this->parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    this->parser_->header_limit(max_reply_header_bytes);
    // Not boost::none: Boost 1.74 compares it as less than any Content-Length.
    this->parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser_->skip(this->head_only_);
    http::async_read_header(this->socket_, this->buffer_, *this->parser_,
                            [self = this->shared_from_this()](const error_code& ec, std::size_t) {
                                self->on_head_read(ec);
                            });
}

void client_connection::on_head_read(const error_code& ec)
{
    if (this->phase_ != phase::exchanging) {
        return;
    }
    if (ec) {
        this->fail_reading(ec);
        return;
    }
    const auto& message = this->parser_->get();
    if (const auto fault = find_fault(message.base()); !fault.empty()) {
        this->fail(error_kind::unavailable, fault);
        return;
    }
    if (!is_final_status(message.result_int())) {
        if (++this->interim_replies_ > max_interim_replies) {
            this->fail(error_kind::unavailable, "too many interim replies");
            return;
        }
        this->read_head();
        return;
    }
    this->start_timeout(this->timeouts_.between_bytes, "waiting for the rest of the reply");
    http_head head;
    head.status = message.result_int();
    for (const auto& field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    // An eager parser would hold back a chunk until the buffer is full or the next chunk begins.
    this->parser_->eager(false);
    this->server_idle_timeout_ = parse_keep_alive_timeout(head);
    this->skipping_reply_ = !this->exchange_->accepts_reply(head);
    this->skipped_bytes_ += this->skipping_reply_ ? skipped_bytes_of_a_head : 0;
    if (!this->skipping_reply_) {
        this->exchange_->deliver_head(head);
    }
    if (this->parser_->is_done()) {
        this->complete_reply();
        return;
    }
    this->read_body();
}

void client_connection::read_body()
{
    auto& body = this->parser_->get().body();
    body.data = this->body_buffer_.data();
    body.size = this->body_buffer_.size();
    http::async_read_some(this->socket_, this->buffer_, *this->parser_,
                          [self = this->shared_from_this()](const error_code& ec, std::size_t) {
                              self->on_body_read(ec);
                          });
}

void client_connection::on_body_read(const error_code& ec)
{
    if (this->phase_ != phase::exchanging) {
        return;
    }
    const auto n = this->body_buffer_.size() - this->parser_->get().body().size;
    this->skipped_bytes_ += this->skipping_reply_ ? n : 0;
    if (this->skipped_bytes_ > max_skipped_bytes) {
        this->fail(error_kind::unavailable, "too many bytes of replies to other requests");
        return;
    }
    if (n > 0 && !this->skipping_reply_) {
        this->exchange_->deliver_data(std::string(this->body_buffer_.data(), n));
    }
    if (ec && ec != http::error::need_buffer) {
        this->fail_reading(ec);
        return;
    }
    if (this->parser_->is_done()) {
        if (this->parser_->need_eof()) {
            this->end_with_connection();
        }
        else {
            this->complete_reply();
        }
        return;
    }
    this->start_timeout(this->timeouts_.between_bytes, "waiting for the rest of the reply");
    this->read_body();
}

void client_connection::end_with_connection()
{
    // The system reports a reset once. A write that is not complete may take the report, and the
    // read then sees an ordinary end. The write is told whether an ordinary end came first.
    const auto state = tcp_state(this->socket_.native_handle());
    if (this->writing_ && state != TCP_CLOSE_WAIT) {
        this->read_to_end_ = true;
        return;
    }
    const bool is_ordinary = state == TCP_CLOSE_WAIT || !this->write_error_ ||
                             (state == TCP_CLOSE && this->write_error_ == asio::error::broken_pipe);
    if (is_ordinary) {
        this->complete_reply();
    }
    else {
        this->fail_reading(asio::error::connection_reset);
    }
}

void client_connection::complete_reply()
{
    if (this->skipping_reply_) {
        this->desynchronised_ = true;
        if (this->skipped_bytes_ > max_skipped_bytes) {
            this->fail(error_kind::unavailable, "too many bytes of replies to other requests");
            return;
        }
        this->start_timeout(this->timeouts_.first_byte, "waiting for the reply");
        this->read_head();
        return;
    }
    const auto exchange = this->exchange_;
    const auto idle_timeout = std::min<duration>(
        this->pool_->max_idle_time,
        this->server_idle_timeout_.value_or(this->pool_->max_idle_time + keep_alive_margin) -
            keep_alive_margin);
    const bool reusable = this->parser_->keep_alive() && !this->writing_ && !this->write_error_ &&
                          !this->desynchronised_ && this->buffer_.size() == 0 &&
                          !exchange->has_ended() && idle_timeout > duration::zero();
    if (!reusable) {
        this->close();
        exchange->deliver_end();
        return;
    }
    this->deadline_.clear();
    this->parser_.reset();
    this->reading_reply_ = false;
    this->exchange_.reset();
    this->phase_ = phase::idle;
    this->await_readable();
    bool kept = false;
    {
        const std::scoped_lock lock(this->pool_->mutex);
        this->pool_->busy.erase(this->shared_from_this());
        if (!this->pool_->closed && this->pool_->idle.size() < this->pool_->max_idle) {
            this->idle_until = std::chrono::steady_clock::now() + idle_timeout;
            this->pool_->idle.push_back(this->shared_from_this());
            kept = true;
        }
    }
    if (!kept) {
        this->close();
    }
    exchange->deliver_end();
}

/// Takes the most recently used idle connection from the pool, or creates one.
/// @param pool the pool
/// @param expired receives the idle connections that have expired, for the caller to close
/// @return the connection
std::shared_ptr<client_connection>
take_connection(const std::shared_ptr<client_pool>& pool,
                std::vector<std::shared_ptr<client_connection>>& expired)
{
    const time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(pool->mutex);
    const auto usable = std::ranges::stable_partition(
        pool->idle, [now](const auto& entry) { return entry->idle_until < now; });
    expired.assign(pool->idle.begin(), usable.begin());
    pool->idle.erase(pool->idle.begin(), usable.begin());
    std::shared_ptr<client_connection> taken;
    if (pool->idle.empty()) {
        taken = std::make_shared<client_connection>(pool);
    }
    else {
        taken = pool->idle.back();
        pool->idle.pop_back();
    }
    if (!pool->closed) {
        pool->busy.insert(taken);
    }
    return taken;
}

/// Collects the reply for http_client::fetch.
struct fetch_state {
    http_response response;
    std::function<void(std::variant<http_response, http_failure>)> done;
    std::weak_ptr<http_exchange> exchange;
    std::size_t max_bytes = 0;
    std::mutex mutex; ///< guards ended and exchange
    bool ended = false;

    /// @return whether this call ends the exchange
    bool mark_ended()
    {
        const std::scoped_lock lock(this->mutex);
        return !std::exchange(this->ended, true);
    }

    /// Ends an exchange whose reply is too long.
    void end_as_too_large()
    {
        if (!this->mark_ended()) {
            return;
        }
        std::shared_ptr<http_exchange> running;
        {
            const std::scoped_lock lock(this->mutex);
            running = this->exchange.lock();
        }
        if (running) {
            running->cancel();
        }
        this->done(http_failure{
            error_kind::too_large,
            fmt::format("the reply exceeds the limit of {} bytes", this->max_bytes), true});
    }
};

} // namespace

class http_client::implementation {
public:
    implementation(runtime& context, const std::string& address, std::size_t max_idle,
                   duration idle_time)
        : pool_(std::make_shared<client_pool>(context.impl().context, parse_tcp_address(address),
                                              address, max_idle, idle_time))
    {
    }

    std::shared_ptr<http_exchange> send(const http_request& request, const http_timeouts& timeouts,
                                        http_events events)
    {
        const auto exchange = std::make_shared<client_exchange>(std::move(events), this->closed_);
        if (has_forbidden_characters(request)) {
            asio::post(this->pool_->context, [exchange] {
                exchange->deliver_failure({error_kind::invalid_argument,
                                           "the request has a line break in its method, target or "
                                           "headers, or a space in its target",
                                           false});
            });
            return exchange;
        }
        // First, because it may fail for lack of memory.
        auto bytes = encode_request(request, this->pool_->address);
        std::vector<std::shared_ptr<client_connection>> expired;
        const auto connection = take_connection(this->pool_, expired);
        for (const auto& entry : expired) {
            asio::post(entry->executor(), [entry] { entry->close(); });
        }
        exchange->attach(connection);
        asio::post(connection->executor(),
                   [connection, exchange, timeouts, head_only = request.method == "HEAD",
                    bytes = std::move(bytes)]() mutable {
                       connection->run(std::move(bytes), head_only, timeouts, exchange);
                   });
        return exchange;
    }

    void close()
    {
        *this->closed_ = true;
        std::unordered_set<std::shared_ptr<client_connection>> connections;
        {
            const std::scoped_lock lock(this->pool_->mutex);
            this->pool_->closed = true;
            connections.swap(this->pool_->busy);
            connections.insert(this->pool_->idle.begin(), this->pool_->idle.end());
            this->pool_->idle.clear();
        }
        for (const auto& connection : connections) {
            asio::post(connection->executor(), [connection] { connection->close(); });
        }
    }

private:
    std::shared_ptr<client_pool> pool_;
    std::shared_ptr<std::atomic<bool>> closed_ = std::make_shared<std::atomic<bool>>(false);
};

http_client::http_client(runtime& context, const std::string& address,
                         std::size_t max_idle_connections, duration max_idle_time)
    : impl_(std::make_shared<implementation>(context, address, max_idle_connections, max_idle_time))
{
}

http_client::~http_client()
{
    this->impl_->close();
}

std::shared_ptr<http_exchange> http_client::send(const http_request& request,
                                                 http_timeouts timeouts, http_events events)
{
    return this->impl_->send(request, timeouts, std::move(events));
}

std::shared_ptr<http_exchange>
http_client::fetch(const http_request& request, http_timeouts timeouts,
                   std::function<void(std::variant<http_response, http_failure>)> done,
                   std::size_t max_reply_bytes)
{
    const auto state = std::make_shared<fetch_state>();
    state->done = std::move(done);
    state->max_bytes = max_reply_bytes;
    http_events events;
    events.on_head = [state](const http_head& head) { state->response.head = head; };
    events.on_data = [state](const std::string& data) {
        if (state->response.body.size() + data.size() > state->max_bytes) {
            state->end_as_too_large();
            return;
        }
        state->response.body += data;
    };
    events.on_end = [state] {
        if (state->mark_ended()) {
            state->done(std::move(state->response));
        }
    };
    events.on_failure = [state](const http_failure& failure) {
        if (state->mark_ended()) {
            state->done(failure);
        }
    };
    if (timeouts.total == duration::zero()) {
        timeouts.total = default_fetch_time;
    }
    auto exchange = this->send(request, timeouts, std::move(events));
    bool is_over = false;
    {
        // The reply may have become too long before the exchange was known here.
        const std::scoped_lock lock(state->mutex);
        state->exchange = exchange;
        is_over = state->ended;
    }
    if (is_over) {
        exchange->cancel();
    }
    return exchange;
}

} // namespace medlaryoke::transport
