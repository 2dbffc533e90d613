#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace medlaryoke::policy {

struct read_schedule_options {
    /// Longest time for which a read of the store waits for a record. A longer wait needs fewer
    /// calls.
    duration max_wait = std::chrono::seconds(3);
    /// Longest time for which all gateways together may hear nothing from the store and not notice
    /// it. Half of the time in which a change must be in force; the rest is needed to notice that
    /// an answer is overdue, to read again and to tell the others.
    duration blind_time = std::chrono::seconds(1);
    /// Shortest wait, so that many gateways do not make the first of them read without pause.
    duration min_wait = std::chrono::milliseconds(200);
};

/// Spreads the long reads of all gateways over time, so that the answer to one of them is due soon
/// at any moment. If all connections to the store go silent at once, that gateway notices it,
/// and the others learn from it. A change ends the reads of all gateways together, so the first
/// wait after it differs by gateway.
/// @param options bounds
/// @param rank position of this gateway among those that are heard, from 0
/// @param count number of these gateways
/// @param after_change whether the last read returned records
/// @return how long the next read waits for a record
inline duration read_wait(const read_schedule_options& options, std::size_t rank, std::size_t count,
                          bool after_change)
{
    const auto gateways = static_cast<duration::rep>(std::max<std::size_t>(count, 1));
    const auto period = std::min(options.max_wait, options.blind_time * gateways);
    if (!after_change) {
        return period;
    }
    const auto slot =
        static_cast<duration::rep>(std::min(rank + 1, std::max<std::size_t>(count, 1)));
    return std::max(options.min_wait, period * slot / gateways);
}

} // namespace medlaryoke::policy
