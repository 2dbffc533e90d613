#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace medlaryoke::gateway {

/// Larger ages are sent, and taken, as this one.
constexpr std::chrono::milliseconds max_message_age = std::chrono::hours(24);

/// @param at a time that is not after `now`
/// @param now the current time
/// @return its age in milliseconds, as messages between gateways state times
inline std::uint64_t to_age_ms(time_point at, time_point now)
{
    const auto age = std::clamp<duration>(now - at, duration::zero(), max_message_age);
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

/// @param age_ms age in milliseconds, as a message states it
/// @param now the current time
/// @return the time
inline time_point from_age_ms(std::uint64_t age_ms, time_point now)
{
    return now - std::chrono::milliseconds(
                     std::min(age_ms, static_cast<std::uint64_t>(max_message_age.count())));
}

} // namespace medlaryoke::gateway
