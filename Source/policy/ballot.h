#pragma once

#include <compare>
#include <cstdint>

namespace medlaryoke::policy {

/// Orders the attempts of coordinators to change the expert map of a group.
struct ballot {
    std::uint64_t fence = 0; ///< offset of the coordinator's lease record
    std::uint32_t round = 0; ///< attempt under that lease
    std::uint64_t agent = 0; ///< incarnation of the coordinator; breaks ties without a lease

    auto operator<=>(const ballot&) const = default;
};

} // namespace medlaryoke::policy
