#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// The reply to one HTTP request. Thread safe; calls after the end are ignored.
class response_stream {
public:
    response_stream() = default;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    response_stream(response_stream&&) = delete;
    response_stream& operator=(response_stream&&) = delete;
    virtual ~response_stream() = default;

    /// Sends a complete reply.
    /// @param response status, headers and body
    virtual void respond(http_response response) = 0;

    /// Starts a reply of unknown length, in chunked transfer coding.
    /// @param head status and headers
    virtual void start(http_head head) = 0;

    /// Queues one part of the body.
    /// @param data the bytes; sent as one chunk without waiting for more
    /// @return number of bytes queued and not yet written, for flow control
    virtual std::size_t write(std::string data) = 0;

    /// Ends a started reply.
    virtual void finish() = 0;

    /// Sends the queued parts and closes the connection without ending the reply, so that the
    /// client can tell that the reply is incomplete.
    virtual void abort() = 0;

    /// Sets the callback for a client that disconnects.
    /// @param fn called once if the connection closes before the reply has ended
    virtual void on_closed(std::function<void()> fn) = 0;
};

/// Time from one attempt to bind an address to the next, for processes that wait for theirs: an
/// earlier process may still hold it, or the machine may not have it yet.
constexpr duration default_bind_retry_interval = std::chrono::milliseconds(100);

/// Address of a server and limits for its connections.
struct http_server_options {
    std::string address; ///< IP address and port; port 0 picks a free one
    /// Time from one attempt to bind the address to the next while it cannot be bound, such as
    /// while an earlier process still holds it. Zero: the constructor throws instead.
    duration bind_retry_interval{};
    std::size_t max_header_bytes = 16U * 1024U;
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration idle_timeout = std::chrono::seconds(60);    ///< between two requests
    duration header_timeout = std::chrono::seconds(10);  ///< to receive the head of a request
    duration request_timeout = std::chrono::seconds(10); ///< to receive the body after the head
    duration write_timeout = std::chrono::seconds(30);   ///< for one write to a slow client
    /// Connections that may be open at the same time. For a further one, the one that has been idle
    /// for longest is closed, else the one whose request has been arriving for longest.
    std::size_t max_connections = 4096;
    /// Bytes of all requests that arrive or are handled. If they are exceeded, the largest request
    /// that is still arriving is refused, stalled ones first.
    std::size_t max_request_bytes = 64U * 1024U * 1024U;
    /// Bytes of all replies that clients have not read. If they are exceeded, the connection with
    /// the most of them is closed, stalled ones first.
    std::size_t max_reply_bytes = 64U * 1024U * 1024U;
};

/// What the connections of a server hold, and how often a client had to give way.
struct http_server_usage {
    std::size_t connections = 0;
    std::size_t request_bytes = 0;
    std::size_t reply_bytes = 0;
    std::size_t closed_connections = 0; ///< closed for new ones, since the start
    std::size_t refused_requests = 0;   ///< refused for lack of memory, since the start
    std::size_t closed_replies = 0;     ///< closed with an unread reply, since the start
};

/// What a draining server does with new and idle connections.
enum class drain_mode {
    stop_accepting, ///< stops listening and closes idle connections
    keep_accepting, ///< keeps listening for clients that do not know yet that the server drains
};

/// Handles a request; the reply may be sent later and from any thread.
using http_handler = std::function<void(http_request, std::shared_ptr<response_stream>)>;

/// HTTP/1.1 server. Oversized and malformed requests get an error reply without reaching the
/// handler. An exception thrown by the handler becomes an error reply.
class http_server {
public:
    /// Binds the address, or goes on trying if the options say so.
    /// @param context runs the connections
    /// @param options address and limits
    /// @param handler called for each request on a worker thread
    /// @throws error of kind invalid_argument if the address is malformed; of kind unavailable if
    /// it cannot be bound and is not tried again
    http_server(runtime& context, const http_server_options& options, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Closes all connections. A handler that has already begun may still be running.
    ~http_server();

    /// @return the bound IP address and port; those of the options until the address is bound
    [[nodiscard]] std::string address() const;

    /// @return whether the address is bound, so that clients can connect
    [[nodiscard]] bool is_listening() const;

    /// Starts a graceful shutdown: later replies carry `Connection: close`.
    /// @param mode what happens to new and idle connections
    void drain(drain_mode mode = drain_mode::stop_accepting);

    /// Replaces the limits and timeouts; they apply to requests that begin after the call.
    /// @param options the new limits; the address is ignored
    void set_limits(http_server_options options);

    /// @return number of open connections
    [[nodiscard]] std::size_t open_connections() const;

    /// @return what the connections hold
    [[nodiscard]] http_server_usage usage() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
