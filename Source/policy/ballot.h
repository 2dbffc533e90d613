#pragma once

#include <compare>
#include <cstdint>

namespace medlaryoke::policy {

/// Identifies an attempt of a coordinator to change the expert map of a group. Later attempts have
/// higher ballots, as in Paxos. Members are compared in the order of declaration.
struct ballot {
    std::uint64_t fence = 0; ///< offset of the log record that began the coordinator's lease
    std::uint32_t round = 0; ///< number of the attempt under that lease
    std::uint64_t agent = 0; ///< incarnation of the coordinator; breaks ties without a lease

    auto operator<=>(const ballot&) const = default;
};

} // namespace medlaryoke::policy
