#pragma once

#include <compare>
#include <cstdint>

namespace medlaryoke::policy {

/// A place in a topic of the store. A store that is restored from an older copy gives out offsets
/// again, so offsets are comparable only within an epoch; positions of a later epoch are greater.
struct log_position {
    std::uint64_t epoch = 0; ///< rises each time the store is restored
    std::uint64_t offset = 0;

    auto operator<=>(const log_position&) const = default;
};

} // namespace medlaryoke::policy
