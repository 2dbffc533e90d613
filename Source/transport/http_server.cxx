#include "transport/http_server.h"

#include "transport/asio_prelude.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

#include "base/duration_text.h"
#include "base/event_log.h"
#include "base/logging.h"
#include "policy/connection_memory.h"
#include "policy/connection_slots.h"
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

// Each open connection holds one read buffer, so the buffer is small.
constexpr std::size_t read_buffer_bytes = 4U * 1024U;
// Read at once while a body arrives faster than that.
constexpr std::size_t body_buffer_bytes = 16U * 1024U;
// Replies that are shorter than this while they are written are not counted.
constexpr std::size_t min_counted_reply_bytes = 4U * 1024U;
// A request and the copy of it that is sent to an upstream.
constexpr std::size_t copies_of_handled_request = 2;
// Callers that are refused for lack of memory come back after this time.
constexpr auto memory_retry_after = std::chrono::seconds(1);
// After the last reply of a connection, such as an error reply to a request that was not read
// completely, input is read and discarded for this long. Closing a socket with unread data resets
// the connection, and the client may then lose the reply.
constexpr auto linger_timeout = std::chrono::seconds(1);
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);

// Every so many failed attempts to bind the address are logged, from the first one on.
constexpr unsigned bind_attempts_per_log_line = 100;

const logger& server_log()
{
    static const logger log("http");
    return log;
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

/// How the reply to the current request is delimited.
struct reply_framing {
    bool is_http_1_0 = false; ///< the client does not understand the chunked coding
    bool head_only = false;   ///< the request method is HEAD
    bool keep_alive = true;
};

/// @param length size of the body, empty if it is sent in chunks or ended by the close
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
    else if (!framing.is_http_1_0) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += framing.keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

class server_stream;
class server_connection;

/// The body of a request in a string that grows with what arrives. The one of the library reserves
/// what a client only announces, which systems may count as memory.
struct arriving_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(http::header<is_request, Fields>& /*head*/, value_type& body) : body_(body)
        {
        }

        // The library prescribes the names and the parameters.
        static void init(const boost::optional<std::uint64_t>& /*length*/, error_code& ec)
        {
            ec = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, error_code& ec)
        {
            ec = {};
            std::size_t size = 0;
            for (const asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body_.append(static_cast<const char*>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        static void finish(error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

/// @return why the framing of a request is ambiguous or incomplete, empty if it is valid
std::optional<error> find_framing_error(const http::request<arriving_body>& message)
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
    // The body of a request with an unsupported coding would be parsed as the next request.
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

/// Makes the reply that reports an error, with another status than the one of the error's kind.
http_response make_error_response_with_status(const error& failure, unsigned status)
{
    auto response = make_error_response(failure);
    response.head.status = status;
    return response;
}

/// What the clients of a server hold, and which of them gives way; see policy::connection_memory
/// and policy::connection_slots. Guarded by the mutex of server_state.
struct held_by_clients {
    policy::connection_slots slots{0};
    policy::connection_memory requests;
    policy::connection_memory replies;
    std::size_t closed_connections = 0;
    std::size_t refused_requests = 0;
    std::size_t closed_replies = 0;
};

/// The state that the acceptor shares with its connections.
struct server_state {
    void set_options(http_server_options next)
    {
        const std::scoped_lock lock(this->mutex);
        this->held.slots.configure(next.max_connections);
        this->held.requests.configure({.capacity = next.max_request_bytes});
        this->held.replies.configure({.capacity = next.max_reply_bytes});
        this->options = std::make_shared<const http_server_options>(std::move(next));
    }

    /// @return the connections with these ids that are open; the mutex must be held
    [[nodiscard]] std::vector<std::shared_ptr<server_connection>>
    find(const std::vector<std::uint64_t>& ids) const
    {
        std::vector<std::shared_ptr<server_connection>> found;
        for (const auto id : ids) {
            if (const auto it = this->connections.find(id); it != this->connections.end()) {
                found.push_back(it->second);
            }
        }
        return found;
    }

    std::atomic<std::shared_ptr<const http_server_options>> options;
    http_handler handler;
    std::atomic<bool> draining = false;
    std::atomic<bool> accepts_while_draining = false; ///< see drain_mode::keep_accepting
    std::atomic<std::size_t> open_count = 0;          ///< open connections
    event_log log{"http"};
    std::atomic<std::uint64_t> last_id = 0;
    mutable std::mutex mutex;
    held_by_clients held;
    std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>> connections; ///< by id
    bool closed = false;
};

/// One accepted connection. Members other than `queued_bytes` and the socket's executor are used on
/// the strand of the socket only.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(tcp::socket socket, std::shared_ptr<server_state> state)
        : socket_(std::move(socket)),
          read_deadline_(socket_.get_executor(), [this] { this->on_read_timeout(); }),
          write_deadline_(socket_.get_executor(), [this] { this->close(); }),
          state_(std::move(state)), id_(++state_->last_id)
    {
        ++this->state_->open_count;
    }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    server_connection(server_connection&&) = delete;
    server_connection& operator=(server_connection&&) = delete;
    ~server_connection() { --this->state_->open_count; }

    [[nodiscard]] std::uint64_t id() const { return this->id_; }

    [[nodiscard]] asio::any_io_executor executor() { return this->socket_.get_executor(); }

    void start()
    {
        if (this->phase_ == phase::closed) {
            return; // closed before it was used, as there are too many
        }
        error_code ec;
        this->socket_.set_option(tcp::no_delay(true), ec);
        this->wait_for_request();
    }

    void start_or_close()
    {
        this->run_or_close([this] { this->start(); });
    }

    void close_if_idle()
    {
        if (this->phase_ == phase::idle && this->buffer_.size() == 0) {
            this->close();
        }
    }

    void close();

    /// Refuses the request that arrives, because the server is short of memory.
    void refuse_for_memory();

    // The server_stream of the current request calls these on the strand.
    void send_response(const http_response& response);
    void send_head(const http_head& head);
    void send_chunk(const std::string& data);
    void send_end();
    void abort_reply();

    std::atomic<std::size_t> queued_bytes = 0; ///< not yet written to the socket

private:
    enum class phase { idle, receiving, handling, lingering, closed };

    /// Runs a function; if it fails, such as for lack of memory, closes the connection, on which
    /// nothing would happen any more.
    template <typename Function>
    void run_or_close(Function fn)
    {
        try {
            fn();
        }
        catch (const std::exception& e) {
            server_log().error("A connection was closed: {}.", e.what());
            this->close();
        }
    }

    void wait_for_request();
    void begin_request();
    /// Parses what has arrived and reads on, or handles the request if it is complete.
    void parse_request();
    /// @return whether the head is acceptable; if not, the request was rejected
    [[nodiscard]] bool check_head();
    void read_more();
    void count_request(std::size_t bytes, bool is_handled);
    void count_reply(std::size_t bytes);
    void set_use(policy::connection_use use);
    void on_receive_error(const error_code& ec);
    void reject_request(const http_response& response);
    [[nodiscard]] std::shared_ptr<const http_server_options> current_options() const
    {
        return this->state_->options.load();
    }
    void on_read_timeout();
    void call_handler();
    void start_read();
    void on_read(const error_code& ec, std::size_t n);
    void queue(std::string bytes);
    void write_queued();
    void on_written(const error_code& ec, std::size_t n);
    void set_ends_with_connection(bool value);
    void on_reply_written();
    void linger();

    tcp::socket socket_;
    moving_deadline read_deadline_;
    moving_deadline write_deadline_;
    std::shared_ptr<server_state> state_;
    std::uint64_t id_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<http::request_parser<arriving_body>> parser_;
    std::weak_ptr<server_stream> stream_;
    reply_framing framing_;
    phase phase_ = phase::idle;
    bool reading_ = false;
    bool head_checked_ = false;
    bool receive_timed_out_ = false;             ///< the current request did not arrive in time
    bool out_of_memory_ = false;                 ///< the current request gives way to others
    std::size_t read_bytes_ = read_buffer_bytes; ///< read at once while a request arrives
    bool counts_request_ = false;                ///< the request is counted in held_by_clients
    bool counts_reply_ = false;                  ///< the reply is counted in held_by_clients
    bool reply_ended_ = false;
    bool ends_with_connection_ = false; ///< the reply has neither a length nor chunks
    bool aborting_ = false;             ///< close after the queued bytes, without ending the reply
    std::string pending_bytes_;         ///< queued behind the running write
    std::string write_buffer_;          ///< the bytes of the running write
    bool writing_ = false;
};

/// Passes the reply to one request on to its connection. Holds no socket, so that it may outlive
/// the runtime.
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
        try {
            if (this->started_) {
                this->abort();
                return;
            }
            this->respond(make_error_response(error(error_kind::internal,
                                                    "the request was dropped without a reply",
                                                    "Report this fault to the operator."),
                                              "unknown"));
        }
        catch (const std::exception& e) {
            // An exception that leaves a destructor ends the process. The caller's own time-out
            // ends the request.
            server_log().error("A request was dropped without a reply: {}.", e.what());
        }
    }

    void respond(http_response response) override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || this->started_) {
            return;
        }
        this->mark_ended_locked();
        this->post([response = std::move(response)](server_connection& target) {
            target.send_response(response);
        });
    }

    void start(http_head head) override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || this->started_) {
            return;
        }
        this->started_ = true;
        this->post([head = std::move(head)](server_connection& target) { target.send_head(head); });
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
            connection.send_chunk(data);
        });
        return queued;
    }

    void finish() override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_ || !this->started_) {
            return;
        }
        this->mark_ended_locked();
        this->post([](server_connection& target) { target.send_end(); });
    }

    void abort() override
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->ended_) {
            return;
        }
        this->mark_ended_locked();
        this->post([](server_connection& target) { target.abort_reply(); });
    }

    void on_closed(std::function<void()> fn) override
    {
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->ended_ && !this->client_disconnected_) {
                return;
            }
            if (!this->client_disconnected_) {
                this->on_closed_ = std::move(fn);
                return;
            }
        }
        fn();
    }

    /// Handles a connection that closed before the reply ended.
    void on_client_disconnected()
    {
        std::function<void()> fn;
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->ended_) {
                return;
            }
            this->client_disconnected_ = true;
            this->ended_ = true;
            fn = std::exchange(this->on_closed_, nullptr);
        }
        if (fn) {
            try {
                fn();
            }
            catch (const std::exception& e) {
                server_log().error("A callback for a closed connection failed: {}.", e.what());
            }
        }
    }

private:
    void mark_ended_locked()
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
    bool client_disconnected_ = false;
};

void server_connection::close()
{
    if (this->phase_ == phase::closed) {
        return;
    }
    this->phase_ = phase::closed;
    error_code ec;
    if (!this->ends_with_connection_) {
        this->socket_.shutdown(tcp::socket::shutdown_both, ec);
    }
    this->socket_.close(ec);
    this->read_deadline_.close();
    this->write_deadline_.close();
    if (const auto stream = this->stream_.lock()) {
        stream->on_client_disconnected();
    }
    this->stream_.reset();
    this->parser_.reset();
    this->count_request(0, false);
    this->count_reply(0);
    const std::scoped_lock lock(this->state_->mutex);
    this->state_->held.slots.on_close(this->id_);
    this->state_->connections.erase(this->id_);
}

void server_connection::set_use(policy::connection_use use)
{
    const std::scoped_lock lock(this->state_->mutex);
    this->state_->held.slots.on_use(this->id_, use, std::chrono::steady_clock::now());
}

void server_connection::count_request(std::size_t bytes, bool is_handled)
{
    if (bytes == 0 && !this->counts_request_) {
        return;
    }
    this->counts_request_ = bytes > 0;
    std::vector<std::shared_ptr<server_connection>> chosen;
    {
        const std::scoped_lock lock(this->state_->mutex);
        auto& held = this->state_->held;
        chosen = this->state_->find(
            held.requests.set(this->id_, bytes, !is_handled, std::chrono::steady_clock::now()));
        held.refused_requests += chosen.size();
    }
    for (const auto& it : chosen) {
        if (it.get() == this) {
            this->counts_request_ = false;
            this->out_of_memory_ = true;
        }
        else {
            asio::post(it->executor(), [it] { it->refuse_for_memory(); });
        }
    }
}

void server_connection::count_reply(std::size_t bytes)
{
    if (!this->counts_reply_ && bytes < min_counted_reply_bytes) {
        return;
    }
    this->counts_reply_ = bytes > 0;
    std::vector<std::shared_ptr<server_connection>> chosen;
    {
        const std::scoped_lock lock(this->state_->mutex);
        auto& held = this->state_->held;
        chosen = this->state_->find(
            held.replies.set(this->id_, bytes, true, std::chrono::steady_clock::now()));
        held.closed_replies += chosen.size();
    }
    for (const auto& it : chosen) {
        asio::post(it->executor(), [it] {
            it->state_->log.sample(log_level::warning,
                                   "reply is not read, connection closed for lack of memory",
                                   {{"bytes", static_cast<std::int64_t>(it->queued_bytes.load())}});
            it->close();
        });
    }
}

void server_connection::refuse_for_memory()
{
    if (this->phase_ == phase::closed) {
        return;
    }
    this->counts_request_ = false;
    if (this->phase_ != phase::receiving) {
        return; // it has arrived meanwhile; its end is counted anew
    }
    this->out_of_memory_ = true;
    if (this->reading_) {
        error_code ec;
        this->socket_.cancel(ec); // the pending read then calls on_receive_error()
    }
}

void server_connection::wait_for_request()
{
    this->phase_ = phase::idle;
    this->parser_.reset();
    this->count_request(0, false);
    if (this->buffer_.size() > 0) {
        if (this->reading_) {
            error_code ec;
            this->socket_.cancel(ec); // on_read() continues with the buffered request
            return;
        }
        this->begin_request();
        return;
    }
    this->set_use(policy::connection_use::idle);
    if (this->state_->draining && !this->state_->accepts_while_draining) {
        this->close();
        return;
    }
    this->read_deadline_.set(this->current_options()->idle_timeout, this->shared_from_this());
    this->start_read();
}

void server_connection::start_read()
{
    // The read-ahead is bounded: once the buffer is full, reading resumes after the reply.
    if (this->reading_ || this->buffer_.size() >= read_buffer_bytes) {
        return;
    }
    this->reading_ = true;
    this->socket_.async_read_some(
        this->buffer_.prepare(read_buffer_bytes),
        [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
            self->run_or_close([&] { self->on_read(ec, n); });
        });
}

void server_connection::on_read(const error_code& ec, std::size_t n)
{
    this->reading_ = false;
    if (this->phase_ == phase::closed) {
        return;
    }
    if (this->phase_ == phase::receiving) {
        if (ec) {
            this->on_receive_error(ec);
            return;
        }
        if (n == this->read_bytes_) {
            this->read_bytes_ = body_buffer_bytes;
        }
        this->buffer_.commit(n);
        this->parse_request();
        return;
    }
    const bool cancelled = ec == asio::error::operation_aborted && this->buffer_.size() > 0;
    if (ec && !cancelled) {
        this->close();
        return;
    }
    this->buffer_.commit(n);
    if (this->phase_ == phase::idle) {
        this->begin_request();
    }
    else if (this->phase_ == phase::lingering) {
        this->buffer_.clear();
        this->start_read();
    }
    else {
        this->start_read();
    }
}

void server_connection::begin_request()
{
    this->phase_ = phase::receiving;
    this->receive_timed_out_ = false;
    this->out_of_memory_ = false;
    this->head_checked_ = false;
    this->read_bytes_ = read_buffer_bytes;
    this->framing_ = {};
    this->parser_ = std::make_unique<http::request_parser<arriving_body>>();
    const auto options = this->current_options();
    this->parser_->eager(true);
    this->parser_->header_limit(static_cast<std::uint32_t>(options->max_header_bytes));
    this->parser_->body_limit(options->max_body_bytes);
    // Also bounds a chunk header or a trailer without end, which the parser itself does not.
    this->buffer_.max_size(options->max_header_bytes + 2 * read_buffer_bytes);
    this->set_use(policy::connection_use::receiving);
    this->read_deadline_.set(options->header_timeout, this->shared_from_this());
    this->parse_request();
}

void server_connection::parse_request()
{
    error_code ec;
    while (this->buffer_.size() > 0 && !this->parser_->is_done()) {
        const auto used = this->parser_->put(this->buffer_.data(), ec);
        this->buffer_.consume(used);
        if (ec == http::error::need_more) {
            ec = {};
            break;
        }
        if (ec) {
            this->on_receive_error(ec);
            return;
        }
    }
    if (this->parser_->is_header_done() && !std::exchange(this->head_checked_, true) &&
        !this->check_head()) {
        return;
    }
    if (this->parser_->is_done()) {
        this->call_handler();
        return;
    }
    this->count_request(this->parser_->get().body().capacity() + this->buffer_.capacity(), false);
    if (this->out_of_memory_) {
        this->on_receive_error(asio::error::no_memory);
        return;
    }
    this->read_more();
}

bool server_connection::check_head()
{
    if (const auto failure = find_framing_error(this->parser_->get())) {
        this->reject_request(make_error_response(*failure));
        return false;
    }
    if (boost::beast::iequals(this->parser_->get()[http::field::expect], "100-continue")) {
        this->queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
    this->read_deadline_.set(this->current_options()->request_timeout, this->shared_from_this());
    return true;
}

void server_connection::read_more()
{
    if (this->reading_) {
        return; // on_read() goes on
    }
    const auto n = std::min(this->read_bytes_, this->buffer_.max_size() - this->buffer_.size());
    if (n == 0) {
        this->on_receive_error(http::error::buffer_overflow);
        return;
    }
    this->reading_ = true;
    this->socket_.async_read_some(
        this->buffer_.prepare(n),
        [self = this->shared_from_this()](const error_code& ec, std::size_t size) {
            self->run_or_close([&] { self->on_read(ec, size); });
        });
}

void server_connection::on_read_timeout()
{
    if (this->phase_ != phase::receiving) {
        this->close();
        return;
    }
    this->receive_timed_out_ = true;
    error_code ec;
    this->socket_.cancel(ec); // the pending read then calls on_receive_error()
}

void server_connection::reject_request(const http_response& response)
{
    this->framing_.keep_alive = false;
    this->phase_ = phase::handling;
    this->parser_.reset();
    this->count_request(0, false);
    this->set_use(policy::connection_use::answering);
    this->send_response(response);
}

void server_connection::on_receive_error(const error_code& ec)
{
    constexpr unsigned request_timeout_status = 408;
    constexpr unsigned header_too_large_status = 431;
    const auto options = this->current_options();
    if (this->out_of_memory_) {
        this->state_->log.sample(log_level::warning, "request refused for lack of memory", {});
        auto response = make_error_response(
            error(error_kind::unavailable, "the server holds too many unfinished requests",
                  "Retry the request after the time in Retry-After."));
        response.head.headers.push_back(make_retry_after(memory_retry_after));
        this->reject_request(response);
    }
    else if (this->receive_timed_out_) {
        this->reject_request(make_error_response_with_status(
            error(error_kind::deadline_exceeded,
                  fmt::format("request head did not arrive within {}, or its body within {} more",
                              format_duration(options->header_timeout),
                              format_duration(options->request_timeout)),
                  "Send the whole request at once."),
            request_timeout_status));
    }
    else if (ec == http::error::header_limit) {
        this->reject_request(make_error_response_with_status(
            error(error_kind::too_large,
                  fmt::format("request header exceeds the limit of {} bytes",
                              options->max_header_bytes),
                  "Send fewer or shorter header fields."),
            header_too_large_status));
    }
    else if (ec == http::error::body_limit) {
        this->reject_request(make_error_response(error(
            error_kind::too_large,
            fmt::format("request body exceeds the limit of {} bytes", options->max_body_bytes),
            "Send a smaller request body.")));
    }
    else if (ec.category() == http::make_error_code(http::error::bad_method).category() &&
             ec != http::error::end_of_stream && ec != http::error::partial_message) {
        this->reject_request(make_error_response(
            error(error_kind::invalid_argument,
                  fmt::format("request is not valid HTTP/1.1: {}", ec.message()),
                  "Send a well-formed HTTP/1.1 request.")));
    }
    else {
        this->close();
    }
}

void server_connection::call_handler()
{
    this->phase_ = phase::handling;
    this->read_deadline_.clear();
    this->reply_ended_ = false;
    auto message = this->parser_->release();
    this->parser_.reset();
    this->set_use(policy::connection_use::answering);
    this->count_request(copies_of_handled_request * message.body().size(), true);
    if (this->buffer_.size() == 0 && this->buffer_.capacity() > read_buffer_bytes) {
        this->buffer_.shrink_to_fit();
    }
    const auto text = [](boost::beast::string_view view) {
        return std::string(view.data(), view.size());
    };
    constexpr unsigned http_1_1 = 11;
    this->framing_.is_http_1_0 = message.version() < http_1_1;
    this->framing_.head_only = message.method() == http::verb::head;
    this->framing_.keep_alive = message.keep_alive() && !this->framing_.is_http_1_0;
    http_request request{text(message.method_string()), text(message.target()), {}, {}};
    for (const auto& field : message) {
        request.headers.push_back({text(field.name_string()), text(field.value())});
    }
    request.body = std::move(message.body());
    this->start_read();
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
        server_log().error("The HTTP request handler failed: {}.", e.what());
        stream->respond(make_error_response(
            error(error_kind::internal, e.what(), "Report this fault to the operator."),
            "unknown"));
    }
}

void server_connection::send_response(const http_response& response)
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->framing_.keep_alive = this->framing_.keep_alive && !this->state_->draining;
    auto bytes = encode_head(response.head, this->framing_, response.body.size());
    if (!this->framing_.head_only) {
        bytes += response.body;
    }
    this->reply_ended_ = true;
    this->queue(std::move(bytes));
}

void server_connection::send_head(const http_head& head)
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->framing_.keep_alive =
        this->framing_.keep_alive && !this->state_->draining && !this->framing_.is_http_1_0;
    this->set_ends_with_connection(this->framing_.is_http_1_0 && !this->framing_.head_only);
    this->queue(encode_head(head, this->framing_, std::nullopt));
}

void server_connection::set_ends_with_connection(bool value)
{
    if (this->ends_with_connection_ == value) {
        return;
    }
    // An ordinary end completes such a reply, so every other one, such as that of the process, is a
    // reset.
    this->ends_with_connection_ = value;
    error_code ec;
    this->socket_.set_option(asio::socket_base::linger(value, 0), ec);
}

void server_connection::send_chunk(const std::string& data)
{
    if (this->phase_ != phase::handling || this->framing_.head_only) {
        return;
    }
    this->queue(this->framing_.is_http_1_0 ? data
                                           : fmt::format("{:x}\r\n{}\r\n", data.size(), data));
}

void server_connection::send_end()
{
    if (this->phase_ != phase::handling) {
        return;
    }
    this->reply_ended_ = true;
    this->queue(this->framing_.is_http_1_0 || this->framing_.head_only ? "" : "0\r\n\r\n");
}

void server_connection::abort_reply()
{
    this->aborting_ = true;
    this->write_queued();
}

void server_connection::queue(std::string bytes)
{
    this->queued_bytes += bytes.size();
    this->count_reply(this->queued_bytes);
    if (this->pending_bytes_.empty()) {
        this->pending_bytes_ = std::move(bytes);
    }
    else {
        this->pending_bytes_ += bytes;
    }
    this->write_queued();
}

void server_connection::write_queued()
{
    if (this->writing_ || this->phase_ == phase::closed) {
        return;
    }
    if (this->pending_bytes_.empty()) {
        if (this->aborting_) {
            this->close();
        }
        else if (this->reply_ended_ && this->phase_ == phase::handling) {
            this->on_reply_written();
        }
        return;
    }
    this->writing_ = true;
    this->write_buffer_ = std::exchange(this->pending_bytes_, {});
    this->write_deadline_.set(this->current_options()->write_timeout, this->shared_from_this());
    asio::async_write(this->socket_, asio::buffer(this->write_buffer_),
                      [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                          self->on_written(ec, n);
                      });
}

void server_connection::on_written(const error_code& ec, std::size_t)
{
    this->writing_ = false;
    this->queued_bytes -= this->write_buffer_.size();
    this->write_buffer_.clear();
    if (this->write_buffer_.capacity() >= min_counted_reply_bytes) {
        this->write_buffer_.shrink_to_fit();
    }
    this->count_reply(this->queued_bytes);
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

void server_connection::on_reply_written()
{
    this->reply_ended_ = false;
    this->set_ends_with_connection(false);
    this->stream_.reset();
    if (!this->framing_.keep_alive) {
        this->linger();
        return;
    }
    this->wait_for_request();
}

/// Closes the sending side and discards input until the client closes or linger_timeout passes.
void server_connection::linger()
{
    this->phase_ = phase::lingering;
    error_code ec;
    this->socket_.shutdown(tcp::socket::shutdown_send, ec);
    this->buffer_.clear();
    this->read_deadline_.set(linger_timeout, this->shared_from_this());
    this->start_read();
}

} // namespace

/// Owns the acceptor; connections are accepted on its strand.
class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, const http_server_options& options, http_handler handler)
        : context_(context.impl().context), acceptor_(asio::make_strand(context_)),
          retry_timer_(acceptor_.get_executor()), state_(std::make_shared<server_state>())
    {
        this->endpoint_ = parse_tcp_address(options.address);
        this->state_->set_options(options);
        this->state_->handler = std::move(handler);
        this->address_ = options.address;
        this->bind_retry_interval_ = options.bind_retry_interval;
        this->bind();
        if (this->listening_) {
            this->address_ = format_tcp_address(this->acceptor_.local_endpoint());
        }
        else if (this->bind_retry_interval_ <= duration::zero()) {
            throw error(
                error_kind::unavailable,
                fmt::format("cannot listen on {}: {}", this->address_, this->bind_error_.message()),
                "Choose an address of this instance that is not in use.");
        }
    }

    void start()
    {
        if (this->listening_) {
            this->accept();
            return;
        }
        this->bind_later();
    }

    void accept()
    {
        this->acceptor_.async_accept(
            asio::make_strand(this->context_),
            [self = this->shared_from_this()](const error_code& ec, tcp::socket socket) {
                self->on_accepted(ec, std::move(socket));
            });
    }

    void set_limits(http_server_options options) { this->state_->set_options(std::move(options)); }

    void drain(drain_mode mode)
    {
        this->state_->accepts_while_draining = mode == drain_mode::keep_accepting;
        this->state_->draining = true;
        if (mode == drain_mode::keep_accepting) {
            return;
        }
        asio::post(this->acceptor_.get_executor(), [self = this->shared_from_this()] {
            error_code ec;
            self->stopped_accepting_ = true;
            self->acceptor_.close(ec);
            self->retry_timer_.cancel();
        });
        this->for_each_connection([](server_connection& target) { target.close_if_idle(); });
    }

    void close()
    {
        this->drain(drain_mode::stop_accepting);
        std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>> connections;
        {
            const std::scoped_lock lock(this->state_->mutex);
            this->state_->closed = true;
            connections.swap(this->state_->connections);
        }
        for (const auto& [id, connection] : connections) {
            asio::post(connection->executor(), [target = connection] { target->close(); });
        }
    }

    [[nodiscard]] http_server_usage usage() const
    {
        const std::scoped_lock lock(this->state_->mutex);
        const auto& held = this->state_->held;
        return {this->state_->open_count, held.requests.held(),  held.replies.held(),
                held.closed_connections,  held.refused_requests, held.closed_replies};
    }

    [[nodiscard]] const std::string& address() const { return this->address_; }
    [[nodiscard]] bool is_listening() const { return this->listening_; }
    [[nodiscard]] std::size_t open_connections() const { return this->state_->open_count; }

private:
    /// Opens, binds and listens; on failure, the acceptor stays closed and bind_error_ is set.
    void bind()
    {
        try {
            this->acceptor_.open(this->endpoint_.protocol());
            this->acceptor_.set_option(tcp::acceptor::reuse_address(true));
            this->acceptor_.bind(this->endpoint_);
            this->acceptor_.listen();
            this->listening_ = true;
        }
        catch (const boost::system::system_error& e) {
            this->bind_error_ = e.code();
            error_code ec;
            this->acceptor_.close(ec);
        }
    }

    void bind_later()
    {
        if (this->failed_attempts_++ % bind_attempts_per_log_line == 0) {
            this->state_->log.note(
                log_level::warning, "address cannot be bound, trying again",
                {{"address", this->address_}, {"reason", this->bind_error_.message()}});
        }
        this->retry_timer_.expires_after(this->bind_retry_interval_);
        this->retry_timer_.async_wait([self = this->shared_from_this()](const error_code& ec) {
            if (ec || self->stopped_accepting_) {
                return;
            }
            self->bind();
            if (!self->listening_) {
                self->bind_later();
                return;
            }
            self->state_->log.note(log_level::info, "address was bound",
                                   {{"address", self->address_}});
            self->accept();
        });
    }

    void on_accepted(const error_code& ec, tcp::socket socket)
    {
        if (!this->acceptor_.is_open()) {
            return;
        }
        if (ec) {
            server_log().warning("Cannot accept a connection on {}: {}.", this->address_,
                                 ec.message());
            this->accept_later();
            return;
        }
        try {
            this->keep(std::move(socket));
            this->accept();
        }
        catch (const std::exception& e) {
            server_log().warning("Cannot keep a connection on {}: {}.", this->address_, e.what());
            this->accept_later();
        }
    }

    void accept_later()
    {
        this->retry_timer_.expires_after(accept_retry_delay);
        this->retry_timer_.async_wait([self = this->shared_from_this()](const error_code& e) {
            if (!e) {
                self->accept_or_retry();
            }
        });
    }

    void accept_or_retry()
    {
        try {
            this->accept();
        }
        catch (const std::exception& e) {
            server_log().warning("Cannot accept on {}: {}.", this->address_, e.what());
            this->accept_later();
        }
    }

    void keep(tcp::socket socket)
    {
        const auto connection =
            std::make_shared<server_connection>(std::move(socket), this->state_);
        std::vector<std::shared_ptr<server_connection>> closed;
        {
            const std::scoped_lock lock(this->state_->mutex);
            if (this->state_->closed) {
                return;
            }
            this->state_->connections[connection->id()] = connection;
            auto& held = this->state_->held;
            if (const auto id =
                    held.slots.on_open(connection->id(), std::chrono::steady_clock::now())) {
                ++held.closed_connections;
                closed = this->state_->find({*id});
            }
        }
        for (const auto& it : closed) {
            this->state_->log.sample(log_level::warning, "connection closed for a new one",
                                     {{"address", this->address_}, {"new", it == connection}});
            asio::post(it->executor(), [it] { it->close(); });
        }
        asio::post(connection->executor(), [connection] { connection->start_or_close(); });
    }

    template <typename Function>
    void for_each_connection(Function fn)
    {
        const std::scoped_lock lock(this->state_->mutex);
        for (const auto& [id, connection] : this->state_->connections) {
            asio::post(connection->executor(), [target = connection, fn] { fn(*target); });
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    std::shared_ptr<server_state> state_;
    tcp::endpoint endpoint_;
    std::string address_;
    duration bind_retry_interval_{};
    error_code bind_error_; ///< of the last attempt
    unsigned failed_attempts_ = 0;
    std::atomic<bool> listening_ = false;
    bool stopped_accepting_ = false; ///< used on the acceptor's strand
};

http_server::http_server(runtime& context, const http_server_options& options, http_handler handler)
    : impl_(std::make_shared<implementation>(context, options, std::move(handler)))
{
    this->impl_->start();
}

http_server::~http_server()
{
    this->impl_->close();
}

std::string http_server::address() const
{
    return this->impl_->address();
}

bool http_server::is_listening() const
{
    return this->impl_->is_listening();
}

void http_server::drain(drain_mode mode)
{
    this->impl_->drain(mode);
}

void http_server::set_limits(http_server_options options)
{
    this->impl_->set_limits(std::move(options));
}

http_server_usage http_server::usage() const
{
    return this->impl_->usage();
}

std::size_t http_server::open_connections() const
{
    return this->impl_->open_connections();
}

} // namespace medlaryoke::transport
