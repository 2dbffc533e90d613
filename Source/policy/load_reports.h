#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Age of what is known about the load that other gateways put on the upstreams.
struct load_reports {
    std::size_t gateways = 0; ///< other gateways whose reports are known
    time_point mean_time{};   ///< mean time of their newest reports

    /// @param now the current time
    /// @return time since the reports, summed over the gateways
    [[nodiscard]] duration total_age(time_point now) const
    {
        return this->gateways == 0 ? duration::zero()
                                   : std::max<duration>(now - this->mean_time, duration::zero()) *
                                         static_cast<duration::rep>(this->gateways);
    }
};

} // namespace medlaryoke::policy
