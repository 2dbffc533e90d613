#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "model/wire_frame.h"
#include "transport/runtime.h"

namespace medlaryoke::transport {

/// Identifies one connection at a message_server.
using connection_id = std::string;

struct message_server_events {
    /// Called for each frame, in order for one connection.
    std::function<void(const connection_id&, wire::frame)> on_frame;
};

/// ZeroMQ ROUTER bound to one address. Damaged frames are answered with protocol_error.
class message_server {
public:
    /// @param context runs the callbacks
    /// @param address IP address and port; port 0 picks a free one
    /// @param events callbacks
    /// @throws error of kind unavailable if the address cannot be bound
    message_server(runtime& context, const std::string& address, message_server_events events);
    message_server(const message_server&) = delete;
    message_server& operator=(const message_server&) = delete;
    message_server(message_server&&) = delete;
    message_server& operator=(message_server&&) = delete;

    /// Closes the socket. A callback that has already begun may still be running.
    ~message_server();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    /// Queues a frame; thread safe. Frames to a connection that is gone are dropped.
    /// @param connection the receiver
    /// @param frame the frame
    /// @throws error of kind too_large if the frame exceeds max_frame_bytes
    void send(const connection_id& connection, wire::frame frame);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

struct message_client_events {
    std::function<void(wire::frame)> on_frame;
    /// Called when nothing was received for the silence limit, and again after each such span.
    std::function<void()> on_silent;
};

struct message_client_options {
    std::string address; ///< IP address and port of the server
    duration silence_limit = std::chrono::milliseconds(1500);
};

/// ZeroMQ DEALER connected to one server. Makes one connection only and keeps no frames of an
/// earlier one: a connection that is refused or lost is replaced by reconnect(), not by itself.
class message_client {
public:
    /// @param context runs the callbacks
    /// @param options address and limits
    /// @param events callbacks
    message_client(runtime& context, message_client_options options, message_client_events events);
    message_client(const message_client&) = delete;
    message_client& operator=(const message_client&) = delete;
    message_client(message_client&&) = delete;
    message_client& operator=(message_client&&) = delete;

    /// Closes the connection. A callback that has already begun may still be running.
    ~message_client();

    /// Queues a frame; thread safe, in order.
    /// @param frame the frame
    /// @return false if nothing was handed to the connection, so that the frame cannot arrive
    /// @throws error of kind too_large if the frame exceeds max_frame_bytes
    bool send(wire::frame frame);

    /// Drops the connection with its unsent frames and opens a new one.
    void reconnect();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
