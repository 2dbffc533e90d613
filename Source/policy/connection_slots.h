#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/clock.h"

namespace medlaryoke::policy {

/// What a connection does; later ones are closed rather than earlier ones.
enum class connection_use {
    answering, ///< its request is handled, or its reply is written
    receiving, ///< a request has begun to arrive
    idle,      ///< between two requests
};

/// Bounds the connections of a server, and decides which one is closed for a new one: the one that
/// has been idle for longest, else the one whose request has been arriving for longest. Not thread
/// safe.
///
/// Answers the load pattern in which clients open connections and leave them idle, or never end
/// what they send, until the process has no descriptor left for its upstreams.
class connection_slots {
public:
    /// @param limit number of connections that may be open at the same time
    explicit connection_slots(std::size_t limit) : limit_(limit) {}

    /// Replaces the limit, which applies to connections that are opened afterwards.
    void configure(std::size_t limit) { this->limit_ = limit; }

    /// Adds a connection, which is idle.
    /// @return the connection to be closed, if there are too many; it may be the new one
    [[nodiscard]] std::optional<std::uint64_t> on_open(std::uint64_t connection, time_point now);

    /// Records what a connection does from now on.
    void on_use(std::uint64_t connection, connection_use use, time_point now);

    /// Removes a connection.
    void on_close(std::uint64_t connection) { this->connections_.erase(connection); }

private:
    struct state {
        connection_use use = connection_use::idle;
        time_point since{};
    };

    std::size_t limit_;
    std::unordered_map<std::uint64_t, state> connections_;
};

} // namespace medlaryoke::policy
