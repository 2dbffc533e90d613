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

    /// Sends a whole reply.
    /// @param response status, headers and body
    virtual void respond(http_response response) = 0;

    /// Starts a reply of unknown length, in chunked transfer coding.
    /// @param head status and headers
    virtual void start(http_head head) = 0;

    /// Queues one part of the body.
    /// @param data the bytes; written at once, not collected
    /// @return bytes queued and not yet written, for flow control
    virtual std::size_t write(std::string data) = 0;

    /// Ends a started reply.
    virtual void finish() = 0;

    /// Closes the connection after the parts that are queued, so that the client gets what is ready
    /// and sees a broken reply rather than a short one.
    virtual void abort() = 0;

    /// @param fn called once if the client goes away before the end of the reply
    virtual void on_closed(std::function<void()> fn) = 0;
};

struct http_server_options {
    std::string address; ///< IP address and port; port 0 picks a free one
    std::size_t max_header_bytes = 16U * 1024U;
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration idle_timeout = std::chrono::seconds(60);
    duration header_timeout = std::chrono::seconds(10);  ///< to receive the head of a request
    duration request_timeout = std::chrono::seconds(10); ///< to receive the body after the head
    duration write_timeout = std::chrono::seconds(30);   ///< for one write to a slow client
};

/// What a draining server does with connections that come or stay.
enum class drain_mode {
    refuse_new, ///< stops listening and closes idle connections
    serve_late, ///< goes on listening, for clients that learn late that the server is leaving
};

using http_handler = std::function<void(http_request, std::shared_ptr<response_stream>)>;

/// HTTP/1.1 server. Oversized or malformed requests get a typed error without reaching the
/// handler; an exception of the handler becomes a typed error reply.
class http_server {
public:
    /// Binds the address.
    /// @param context runs the connections
    /// @param options address and limits
    /// @param handler called for each request on a worker thread
    /// @throws error of kind unavailable if the address cannot be bound
    http_server(runtime& context, const http_server_options& options, http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Closes all connections. A handler that has already begun may still be running.
    ~http_server();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    /// From now on replies carry `Connection: close`.
    /// @param mode what happens to new and idle connections
    void drain(drain_mode mode = drain_mode::refuse_new);

    /// Replaces the limits and timeouts for requests that begin from now on.
    /// @param options the new limits; the address is ignored
    void set_limits(http_server_options options);

    /// @return connections that are open
    [[nodiscard]] std::size_t open_connections() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
