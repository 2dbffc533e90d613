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
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

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
constexpr std::size_t max_fetch_bytes = 64U * 1024U * 1024U;
constexpr std::size_t body_block_bytes = 16U * 1024U;

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

/// @return whether a line break in the request would add a header or a second request
bool has_line_break(const http_request& request)
{
    const auto broken = [](const std::string& text) {
        return text.find_first_of("\r\n") != std::string::npos;
    };
    return broken(request.method) || broken(request.target) ||
           request.target.find(' ') != std::string::npos ||
           std::ranges::any_of(request.headers, [&broken](const http_header& field) {
               return broken(field.name) || broken(field.value);
           });
}

/// Time by which a connection is given up before the server closes it, so that no request crosses
/// the close. `Keep-Alive` states whole seconds; a round trip and a late timer fit in this margin.
constexpr auto keep_alive_margin = std::chrono::milliseconds(500);

// A request that is cancelled after this time without a byte of a reply may have gone into a silent
// connection; a new connection costs less than another request that is lost so.
constexpr auto silence_suspected = std::chrono::milliseconds(500);

/// @return how long the server keeps an idle connection, empty if it does not say
std::optional<duration> keep_alive_limit(const http_head& head)
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

/// Runs a callback; its exceptions must not end the worker thread.
template <typename Function>
void run_callback(Function fn)
{
    static const logger log("http");
    try {
        fn();
    }
    catch (const std::exception& e) {
        log.error("Handling a reply failed: {}.", e.what());
    }
}

class client_connection;

/// The kept connections of one client and the running ones.
struct client_pool {
    client_pool(asio::io_context& io, tcp::endpoint server, std::string name, std::size_t count,
                duration idle_time)
        : context(io), endpoint(std::move(server)), address(std::move(name)), max_idle(count),
          max_idle_time(idle_time)
    {
    }

    asio::io_context& context;
    tcp::endpoint endpoint;
    std::string address;
    std::size_t max_idle;
    duration max_idle_time;
    std::mutex mutex;
    std::vector<std::shared_ptr<client_connection>> idle; ///< most recently used last
    std::unordered_set<std::shared_ptr<client_connection>> busy;
    bool closed = false;
};

/// The caller's side of one exchange. Holds no socket, so that it may outlive the runtime.
class client_exchange final : public http_exchange,
                              public std::enable_shared_from_this<client_exchange> {
public:
    client_exchange(http_events events, std::shared_ptr<const std::atomic<bool>> client_gone)
        : events_(std::move(events)), client_gone_(std::move(client_gone))
    {
    }

    void cancel() override;

    void attach(const std::shared_ptr<client_connection>& connection)
    {
        const std::scoped_lock lock(this->mutex_);
        this->connection_ = connection;
    }

    [[nodiscard]] bool over() const { return this->over_ || *this->client_gone_; }

    [[nodiscard]] bool owns(const http_head& value)
    {
        if (this->over() || !this->events_.is_own_reply) {
            return true;
        }
        bool own = false;
        run_callback([&] { own = this->events_.is_own_reply(value); });
        return own;
    }

    void head(const http_head& value)
    {
        if (!this->over() && this->events_.on_head) {
            run_callback([&] { this->events_.on_head(value); });
        }
    }

    void data(std::string value)
    {
        if (!this->over() && this->events_.on_data) {
            run_callback([&] { this->events_.on_data(std::move(value)); });
        }
    }

    void end()
    {
        if (this->finish() && this->events_.on_end) {
            run_callback([&] { this->events_.on_end(); });
        }
    }

    void failure(const http_failure& value)
    {
        if (this->finish() && this->events_.on_failure) {
            run_callback([&] { this->events_.on_failure(value); });
        }
    }

private:
    /// @return whether this call ended the exchange
    bool finish() { return !this->over_.exchange(true) && !*this->client_gone_; }

    http_events events_;
    std::shared_ptr<const std::atomic<bool>> client_gone_;
    std::atomic<bool> over_ = false;
    std::mutex mutex_;
    std::weak_ptr<client_connection> connection_;
};

/// One connection; all members but the constants are used on the strand of the socket only.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    explicit client_connection(std::shared_ptr<client_pool> pool)
        : pool_(std::move(pool)), socket_(asio::make_strand(pool_->context)),
          deadline_(socket_.get_executor(), [this] { this->timed_out(); })
    {
    }

    [[nodiscard]] asio::any_io_executor executor() { return this->socket_.get_executor(); }

    void run(std::string bytes, bool head_only, const http_timeouts& timeouts,
             std::shared_ptr<client_exchange> exchange);

    void cancel(const client_exchange* exchange);
    void close();

    // Guarded by the mutex of the pool while the connection is idle.
    time_point idle_until{};

private:
    enum class phase { fresh, connecting, exchanging, idle, closed };

    void connect();
    void write();
    void wrote(const error_code& ec, std::size_t n);
    void wait_readable();
    void readable(const error_code& ec);
    void read_head();
    void got_head(const error_code& ec);
    void read_body();
    void got_body(const error_code& ec);
    void complete();
    void fail(error_kind kind, const std::string& what);
    void timed_out();
    void set_limit(duration limit, std::string_view waiting_for);
    void retire_idle();
    [[nodiscard]] bool stale();

    std::shared_ptr<client_pool> pool_;
    tcp::socket socket_;
    moving_deadline deadline_;
    duration limit_{};
    std::string_view waiting_for_;
    phase phase_ = phase::fresh;
    std::shared_ptr<client_exchange> exchange_;
    http_timeouts timeouts_;
    std::string outgoing_;
    bool head_only_ = false;
    bool writing_ = false;
    bool write_failed_ = false;
    bool any_sent_ = false;
    bool waiting_ = false;
    bool reading_ = false;
    bool foreign_ = false;     ///< the reply being read answers another request
    bool out_of_step_ = false; ///< such a reply was read; the connection is not used again
    time_point run_at_{};      ///< when the request was given to this connection
    std::optional<duration> idle_limit_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
    std::array<char, body_block_bytes> block_{};
};

void client_exchange::cancel()
{
    this->over_ = true;
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

void client_connection::set_limit(duration limit, std::string_view waiting_for)
{
    this->limit_ = limit;
    this->waiting_for_ = waiting_for;
    this->deadline_.set(limit, this->shared_from_this());
}

void client_connection::timed_out()
{
    if (this->phase_ != phase::connecting && this->phase_ != phase::exchanging) {
        return;
    }
    this->retire_idle();
    this->fail(
        error_kind::deadline_exceeded,
        fmt::format("{} took longer than {} ms", this->waiting_for_,
                    std::chrono::duration_cast<std::chrono::milliseconds>(this->limit_).count()));
}

void client_connection::cancel(const client_exchange* exchange)
{
    if (this->exchange_.get() != exchange) {
        return;
    }
    const bool no_reply = this->phase_ == phase::exchanging && !this->reading_;
    if (no_reply && std::chrono::steady_clock::now() - this->run_at_ >= silence_suspected) {
        this->retire_idle();
    }
    this->close();
}

void client_connection::retire_idle()
{
    // Connections that went silent often did so together: the idle ones are not used again.
    std::vector<std::shared_ptr<client_connection>> retired;
    {
        const std::scoped_lock lock(this->pool_->mutex);
        retired.swap(this->pool_->idle);
    }
    for (const auto& connection : retired) {
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

void client_connection::fail(error_kind kind, const std::string& what)
{
    const auto exchange = this->exchange_;
    const auto maybe_sent = this->any_sent_;
    this->close();
    if (exchange) {
        exchange->failure({kind, fmt::format("{}: {}", this->pool_->address, what), maybe_sent});
    }
}

bool client_connection::stale()
{
    // A readable idle connection was closed by the server or is out of step.
    char byte = 0;
    error_code ec;
    this->socket_.non_blocking(true, ec);
    this->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

void client_connection::run(std::string bytes, bool head_only, const http_timeouts& timeouts,
                            std::shared_ptr<client_exchange> exchange)
{
    if (exchange->over()) {
        this->close();
        return;
    }
    this->outgoing_ = std::move(bytes);
    this->head_only_ = head_only;
    this->timeouts_ = timeouts;
    this->exchange_ = std::move(exchange);
    this->any_sent_ = false;
    this->run_at_ = std::chrono::steady_clock::now();
    if (this->phase_ == phase::idle && !this->stale()) {
        this->phase_ = phase::exchanging;
        this->write();
        return;
    }
    if (this->phase_ == phase::closed || this->phase_ == phase::idle) {
        // Nothing was sent on this connection, so a new one may take over.
        const auto next = std::make_shared<client_connection>(this->pool_);
        const auto taken = std::exchange(this->exchange_, nullptr);
        this->close();
        {
            const std::scoped_lock lock(this->pool_->mutex);
            if (!this->pool_->closed) {
                this->pool_->busy.insert(next);
            }
        }
        taken->attach(next);
        asio::post(next->executor(),
                   [next, taken, timeouts, head_only, text = std::move(this->outgoing_)]() mutable {
                       next->run(std::move(text), head_only, timeouts, taken);
                   });
        return;
    }
    this->connect();
}

void client_connection::connect()
{
    this->phase_ = phase::connecting;
    this->set_limit(this->timeouts_.connect, "connecting");
    this->socket_.async_connect(
        this->pool_->endpoint, [self = this->shared_from_this()](const error_code& ec) {
            if (self->phase_ != phase::connecting) {
                return;
            }
            if (ec) {
                self->fail(error_kind::unavailable, "cannot connect: " + ec.message());
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
    this->write_failed_ = false;
    this->parser_.reset();
    this->set_limit(this->timeouts_.write, "sending the request");
    asio::async_write(this->socket_, asio::buffer(this->outgoing_),
                      [self = this->shared_from_this()](const error_code& ec, std::size_t n) {
                          self->wrote(ec, n);
                      });
    // Until the completion tells otherwise, a part may already be on its way.
    this->any_sent_ = true;
    this->wait_readable();
}

void client_connection::wrote(const error_code& ec, std::size_t n)
{
    this->writing_ = false;
    if (this->phase_ != phase::exchanging) {
        return;
    }
    if (ec && n == 0) {
        this->any_sent_ = false;
        this->fail(error_kind::unavailable, "cannot send the request: " + ec.message());
        return;
    }
    // A server may refuse a request before it has read all of it, so its reply is still read.
    this->write_failed_ = static_cast<bool>(ec);
    if (!this->reading_) {
        this->set_limit(this->timeouts_.first_byte, "waiting for the reply");
    }
}

void client_connection::wait_readable()
{
    if (this->waiting_) {
        return;
    }
    this->waiting_ = true;
    this->socket_.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](const error_code& ec) { self->readable(ec); });
}

void client_connection::readable(const error_code& ec)
{
    this->waiting_ = false;
    if (this->phase_ == phase::closed) {
        return;
    }
    if (this->phase_ == phase::idle) {
        // The event may be an old one, of bytes that were read since.
        if (ec || this->stale()) {
            this->close();
        }
        else {
            this->wait_readable();
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
    this->reading_ = true;
    this->parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    this->parser_->header_limit(max_reply_header_bytes);
    // Not boost::none: Boost 1.74 compares it as less than any Content-Length.
    this->parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser_->skip(this->head_only_);
    http::async_read_header(this->socket_, this->buffer_, *this->parser_,
                            [self = this->shared_from_this()](const error_code& ec, std::size_t) {
                                self->got_head(ec);
                            });
}

void client_connection::got_head(const error_code& ec)
{
    if (this->phase_ != phase::exchanging) {
        return;
    }
    if (ec) {
        this->fail(error_kind::unavailable, "the reply broke off: " + ec.message());
        return;
    }
    const auto& message = this->parser_->get();
    constexpr unsigned first_final_status = 200;
    if (message.result_int() < first_final_status) {
        this->read_head();
        return;
    }
    this->set_limit(this->timeouts_.between_bytes, "waiting for the rest of the reply");
    http_head head;
    head.status = message.result_int();
    for (const auto& field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    // An eager parser would hold back a chunk until the block is full or the next chunk begins.
    this->parser_->eager(false);
    this->idle_limit_ = keep_alive_limit(head);
    this->foreign_ = !this->exchange_->owns(head);
    if (!this->foreign_) {
        this->exchange_->head(head);
    }
    if (this->parser_->is_done()) {
        this->complete();
        return;
    }
    this->read_body();
}

void client_connection::read_body()
{
    auto& body = this->parser_->get().body();
    body.data = this->block_.data();
    body.size = this->block_.size();
    http::async_read_some(this->socket_, this->buffer_, *this->parser_,
                          [self = this->shared_from_this()](const error_code& ec, std::size_t) {
                              self->got_body(ec);
                          });
}

void client_connection::got_body(const error_code& ec)
{
    if (this->phase_ != phase::exchanging) {
        return;
    }
    const auto n = this->block_.size() - this->parser_->get().body().size;
    if (n > 0 && !this->foreign_) {
        this->exchange_->data(std::string(this->block_.data(), n));
    }
    if (ec && ec != http::error::need_buffer) {
        this->fail(error_kind::unavailable, "the reply broke off: " + ec.message());
        return;
    }
    if (this->parser_->is_done()) {
        this->complete();
        return;
    }
    this->set_limit(this->timeouts_.between_bytes, "waiting for the rest of the reply");
    this->read_body();
}

void client_connection::complete()
{
    if (this->foreign_) {
        this->out_of_step_ = true;
        this->set_limit(this->timeouts_.first_byte, "waiting for the reply");
        this->read_head();
        return;
    }
    const auto exchange = this->exchange_;
    const auto idle_limit = std::min<duration>(
        this->pool_->max_idle_time,
        this->idle_limit_.value_or(this->pool_->max_idle_time + keep_alive_margin) -
            keep_alive_margin);
    const bool reusable = this->parser_->keep_alive() && !this->writing_ && !this->write_failed_ &&
                          !this->out_of_step_ && this->buffer_.size() == 0 && !exchange->over() &&
                          idle_limit > duration::zero();
    if (!reusable) {
        this->close();
        exchange->end();
        return;
    }
    this->deadline_.clear();
    this->parser_.reset();
    this->reading_ = false;
    this->exchange_.reset();
    this->phase_ = phase::idle;
    this->wait_readable();
    bool kept = false;
    {
        const std::scoped_lock lock(this->pool_->mutex);
        this->pool_->busy.erase(this->shared_from_this());
        if (!this->pool_->closed && this->pool_->idle.size() < this->pool_->max_idle) {
            this->idle_until = std::chrono::steady_clock::now() + idle_limit;
            this->pool_->idle.push_back(this->shared_from_this());
            kept = true;
        }
    }
    if (!kept) {
        this->close();
    }
    exchange->end();
}

/// Takes the most recently used idle connection, or a new one; removes expired ones.
std::shared_ptr<client_connection>
take_connection(const std::shared_ptr<client_pool>& pool,
                std::vector<std::shared_ptr<client_connection>>& expired)
{
    const time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(pool->mutex);
    const auto fresh = std::ranges::stable_partition(
        pool->idle, [now](const auto& entry) { return entry->idle_until < now; });
    expired.assign(pool->idle.begin(), fresh.begin());
    pool->idle.erase(pool->idle.begin(), fresh.begin());
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

/// Collects a reply for fetch.
struct fetch_state {
    http_response response;
    std::function<void(std::variant<http_response, http_failure>)> done;
    std::weak_ptr<http_exchange> exchange;
    bool over = false;
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
        const auto exchange = std::make_shared<client_exchange>(std::move(events), this->gone_);
        if (has_line_break(request)) {
            asio::post(this->pool_->context, [exchange] {
                exchange->failure({error_kind::invalid_argument,
                                   "a line break in the target or a header of the request", false});
            });
            return exchange;
        }
        std::vector<std::shared_ptr<client_connection>> expired;
        const auto connection = take_connection(this->pool_, expired);
        for (const auto& entry : expired) {
            asio::post(entry->executor(), [entry] { entry->close(); });
        }
        exchange->attach(connection);
        asio::post(connection->executor(),
                   [connection, exchange, timeouts, head_only = request.method == "HEAD",
                    text = encode_request(request, this->pool_->address)]() mutable {
                       connection->run(std::move(text), head_only, timeouts, exchange);
                   });
        return exchange;
    }

    void close()
    {
        *this->gone_ = true;
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
    std::shared_ptr<std::atomic<bool>> gone_ = std::make_shared<std::atomic<bool>>(false);
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
                   std::function<void(std::variant<http_response, http_failure>)> done)
{
    const auto state = std::make_shared<fetch_state>();
    state->done = std::move(done);
    http_events events;
    events.on_head = [state](const http_head& head) { state->response.head = head; };
    events.on_data = [state](const std::string& data) {
        if (state->response.body.size() + data.size() <= max_fetch_bytes) {
            state->response.body += data;
        }
        else {
            state->over = true;
        }
    };
    events.on_end = [state] {
        if (state->over) {
            state->done(http_failure{
                error_kind::too_large,
                fmt::format("the reply exceeds the limit of {} bytes", max_fetch_bytes), true});
            return;
        }
        state->done(std::move(state->response));
    };
    events.on_failure = [state](const http_failure& failure) { state->done(failure); };
    return this->send(request, timeouts, std::move(events));
}

} // namespace medlaryoke::transport
