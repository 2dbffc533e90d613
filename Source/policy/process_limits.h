#pragma once

#include <algorithm>
#include <cstddef>

namespace medlaryoke::policy {

/// What the machine of a process grants it. The defaults are those of a small machine.
struct process_limits {
    std::size_t memory_bytes = 512U * 1024U * 1024U;
    std::size_t descriptors = 4096;
};

/// The part of these that what a process holds for others may take. The rest is for the process
/// itself: its program, the configuration, the lists of upstreams and peers, and copies in transit.
struct held_limits {
    std::size_t request_bytes = 0; ///< of requests that arrive or are handled
    std::size_t reply_bytes = 0;   ///< that callers have not read yet
    std::size_t answer_bytes = 0;  ///< of upstreams' answers until they are complete
    std::size_t callers = 0;       ///< connections of callers
    std::size_t directory = 0;     ///< connections to the directory
    std::size_t operations = 0;    ///< connections to each other address
};

/// Divides the limits of a process.
/// @param limits limits of the process
/// @param max_header_bytes longest head of a request, which each connection may hold unfinished
/// @return the shares
inline held_limits divide(const process_limits& limits, std::size_t max_header_bytes)
{
    constexpr std::size_t request_part = 5;
    constexpr std::size_t reply_part = 6;
    constexpr std::size_t header_part = 8; // for heads that have not arrived completely
    constexpr std::size_t buffer_bytes = 8U * 1024U;
    // Answers that a busy gateway collects at the same time stay far below this.
    constexpr std::size_t max_answer_bytes = 64U * 1024U * 1024U;
    // Files, pipes and what the libraries open.
    constexpr std::size_t reserved_descriptors = 200;
    // Half of the sockets are left to upstreams, the store and the other addresses.
    constexpr std::size_t caller_part = 2;
    constexpr std::size_t directory_part = 8;
    constexpr std::size_t operations_part = 16;
    constexpr std::size_t min_callers = 16;
    constexpr std::size_t min_others = 8;
    const auto sockets = limits.descriptors - std::min(limits.descriptors, reserved_descriptors);
    const auto heads = limits.memory_bytes / header_part / (max_header_bytes + buffer_bytes);
    held_limits held;
    held.request_bytes = limits.memory_bytes / request_part;
    held.reply_bytes = limits.memory_bytes / reply_part;
    held.answer_bytes = std::min(limits.memory_bytes / reply_part, max_answer_bytes);
    held.callers = std::max(std::min(sockets / caller_part, heads), min_callers);
    held.directory = std::max(sockets / directory_part, min_others);
    held.operations = std::max(sockets / operations_part, min_others);
    return held;
}

} // namespace medlaryoke::policy
