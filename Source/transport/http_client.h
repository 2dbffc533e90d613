#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/error.h"
#include "transport/http_message.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// Bounds for each phase of an exchange.
struct http_timeouts {
    duration connect = std::chrono::milliseconds(500); ///< to open the connection
    duration write = std::chrono::seconds(2);          ///< to send the whole request
    duration first_byte = std::chrono::seconds(10);    ///< from the end of the request to the head
    duration between_bytes = std::chrono::seconds(10); ///< between two reads of the reply
    /// For the whole exchange, so that a server that sends a byte now and then does not keep it
    /// open. Zero: no limit for send, as streams may last; default_fetch_time for fetch.
    duration total{};
};

/// Default limit of an exchange whose reply is collected as a whole.
constexpr duration default_fetch_time = std::chrono::seconds(60);

/// Default limit of a reply that is collected as a whole.
constexpr std::size_t default_max_reply_bytes = 64U * 1024U * 1024U;

/// How the other side ended an exchange.
enum class exchange_end {
    other,
    connection_refused, ///< nothing listens at the address
    connection_closed,  ///< the server closed or reset the connection before the reply was complete
};

/// Reports why an exchange ended without a whole reply.
struct http_failure {
    error_kind kind = error_kind::unavailable;
    std::string message;
    bool maybe_sent = true; ///< false only if no byte of the request left this process
    exchange_end end = exchange_end::other;
};

/// Callbacks of an exchange. They are called in order on worker threads; exactly one of on_end and
/// on_failure ends the exchange.
struct http_events {
    /// Returns whether a reply belongs to this request; if empty, every reply does. A reply to
    /// another request is skipped, the client waits for the next one, and the connection is not
    /// reused. The exchange fails if replies to other requests take too many bytes.
    std::function<bool(const http_head&)> is_matching_reply;
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string)> on_data;
    std::function<void()> on_end;
    std::function<void(const http_failure&)> on_failure;
};

/// One request and its reply.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    virtual ~http_exchange() = default;

    /// Closes the connection. No event begins afterwards; one that has begun may still be running.
    virtual void cancel() = 0;
};

/// HTTP/1.1 client for one address with a pool of idle connections. The client sends each request
/// at most once and never retries it, even if a pooled connection turns out to be closed.
class http_client {
public:
    /// @param context runs the exchanges
    /// @param address IP address and port of the server
    /// @param max_idle_connections connections kept open for reuse
    /// @param max_idle_time a connection that was idle for longer, or for nearly the `Keep-Alive`
    /// timeout of the server, is closed instead of reused
    http_client(runtime& context, const std::string& address, std::size_t max_idle_connections = 64,
                duration max_idle_time = std::chrono::seconds(15));
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Closes all connections. No event begins afterwards; one that has begun may still be running.
    ~http_client();

    /// Sends a request and streams the reply.
    /// @param request the request; `Content-Length` is added, and `Host` if it is missing
    /// @param timeouts limits for each phase
    /// @param events callbacks; empty ones are skipped
    /// @return the exchange, which can be cancelled
    std::shared_ptr<http_exchange> send(const http_request& request, http_timeouts timeouts,
                                        http_events events);

    /// Sends a request and collects the whole reply.
    /// @param request the request
    /// @param timeouts limits for each phase
    /// @param done called once with the reply or the failure, unless the exchange is cancelled
    /// @param max_reply_bytes a longer body ends the exchange with a failure of kind too_large
    /// @return the exchange, which can be cancelled
    std::shared_ptr<http_exchange>
    fetch(const http_request& request, http_timeouts timeouts,
          std::function<void(std::variant<http_response, http_failure>)> done,
          std::size_t max_reply_bytes = default_max_reply_bytes);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
