#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// A request whose answer an upstream had not begun to write when it ended.
struct crash_suspect {
    time_point sent_at{};           ///< when the request was sent to the upstream
    std::vector<std::string> parts; ///< parts of its prompt that other requests may share
};

/// The end of an upstream that closed its connections in the middle of answers.
struct upstream_crash {
    std::uint64_t upstream = 0; ///< hash of the id and the start time of the upstream
    time_point at{};
    std::vector<crash_suspect> suspects;
};

} // namespace medlaryoke::policy
