#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

struct connection_memory_options {
    std::size_t capacity = 64U * 1024U * 1024U; ///< bytes that all connections may hold
    /// A connection that holds no more gives up its bytes only if none holds more, so that small
    /// requests pass beside large ones.
    std::size_t small_bytes = 64U * 1024U;
    /// Time without growth after which a connection counts as stalled. A body that arrives at the
    /// speed of a network grows several times in this time.
    duration stall_time = std::chrono::milliseconds(500);
};

/// Bounds the bytes that the connections of a server hold, and decides which of them gives up its
/// own when the memory runs out: stalled ones first, then the largest. Bytes count as they arrive,
/// not as they are announced. Not thread safe.
///
/// Answers the load pattern in which many clients begin large bodies and never end them, or let
/// answers wait that they do not read.
class connection_memory {
public:
    explicit connection_memory(connection_memory_options options = {}) : options_(options) {}

    /// Replaces the bounds; they apply from the next call of set() on.
    void configure(const connection_memory_options& options) { this->options_ = options; }

    /// Sets how much a connection holds.
    /// @param connection identifies it
    /// @param bytes number of bytes; 0 if it holds nothing any more
    /// @param can_give_up whether it may be told to give up its bytes
    /// @param now the current time
    /// @return the connections that must give up their bytes; nothing is counted for them any more.
    /// The connection itself may be among them.
    [[nodiscard]] std::vector<std::uint64_t> set(std::uint64_t connection, std::size_t bytes,
                                                 bool can_give_up, time_point now);

    /// @return bytes that are held
    [[nodiscard]] std::size_t held() const { return this->held_; }

private:
    struct holder {
        std::size_t bytes = 0;
        bool can_give_up = true;
        time_point grown_at{};
    };
    using holder_map = std::unordered_map<std::uint64_t, holder>;

    [[nodiscard]] holder_map::iterator choose(time_point now);

    connection_memory_options options_;
    holder_map holders_;
    std::size_t held_ = 0;
};

} // namespace medlaryoke::policy
