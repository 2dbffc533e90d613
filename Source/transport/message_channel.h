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

/// Callbacks of a message_server.
struct message_server_events {
    /// Called for each frame on a worker thread; frames of one connection are in order.
    std::function<void(const connection_id&, wire::frame)> on_frame;
};

/// A ZeroMQ ROUTER socket bound to one address. Malformed frames are answered with protocol_error.
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

    /// Queues a frame. Thread safe. Frames to a closed connection are dropped.
    /// @param connection the connection to send on
    /// @param frame the frame
    /// @throws error of kind too_large if the frame exceeds max_frame_bytes
    void send(const connection_id& connection, wire::frame frame);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

/// Callbacks of a message_client, called on a worker thread.
struct message_client_events {
    std::function<void(wire::frame)> on_frame;
    /// Called each time that nothing was received for message_client_options::silence_limit.
    std::function<void()> on_silent;
};

/// Address of the server and limits of a message_client.
struct message_client_options {
    std::string address;                                      ///< IP address and port of the server
    duration silence_limit = std::chrono::milliseconds(1500); ///< longest time without a frame
};

/// A ZeroMQ DEALER socket connected to one server. It does not reconnect by itself: after a
/// connection is refused or lost, the caller opens the next one with reconnect(), and unsent frames
/// are dropped.
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

    /// Queues a frame. Thread safe. Frames are sent in the order of the calls.
    /// @param frame the frame
    /// @return false if the frame was refused and will not be sent, because the connection is lost
    /// or its queue is full
    /// @throws error of kind too_large if the frame exceeds max_frame_bytes
    bool send(wire::frame frame);

    /// Closes the connection, drops its unsent frames and opens a new one.
    void reconnect();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::transport
