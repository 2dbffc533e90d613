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

struct http_timeouts {
    duration connect = std::chrono::milliseconds(500);
    duration write = std::chrono::seconds(2);
    duration first_byte = std::chrono::seconds(10); ///< from the end of the request to the head
    duration between_bytes = std::chrono::seconds(10);
};

struct http_failure {
    error_kind kind = error_kind::unavailable;
    std::string message;
    bool maybe_sent = true; ///< false only if no byte of the request left this process
};

/// Called in order on a worker thread; exactly one of on_end and on_failure ends the exchange.
struct http_events {
    /// Tells whether a reply answers this request; empty if every reply does. A reply that does not
    /// is dropped, the next one is awaited, and the connection is not used again.
    std::function<bool(const http_head&)> is_own_reply;
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string)> on_data;
    std::function<void()> on_end;
    std::function<void(const http_failure&)> on_failure;
};

/// One running exchange.
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

/// HTTP/1.1 client for one address with a pool of kept connections. A request is sent once: the
/// client never repeats it by itself, also when a pooled connection turns out to be closed.
class http_client {
public:
    /// @param context runs the exchanges
    /// @param address IP address and port of the server
    /// @param max_idle_connections connections kept open for reuse
    /// @param max_idle_time a connection idle for longer, or for nearly as long as the server said
    /// in `Keep-Alive`, is closed instead of reused
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
    /// @return the exchange, for cancel
    std::shared_ptr<http_exchange> send(const http_request& request, http_timeouts timeouts,
                                        http_events events);

    /// Sends a request and collects the whole reply.
    /// @param request the request
    /// @param timeouts limits for each phase
    /// @param done called once with the reply or the failure
    std::shared_ptr<http_exchange>
    fetch(const http_request& request, http_timeouts timeouts,
          std::function<void(std::variant<http_response, http_failure>)> done);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
