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

/// Bits of a fencing token that hold the offset. Map versions hold the token and 20 bits more, and
/// stay exact as JSON numbers for 512 restores.
inline constexpr unsigned fencing_offset_bits = 24;

/// @param position of a record that its writer alone has written
/// @return fencing token of the writer: not 0, and higher than those of all earlier positions, also
/// of those that were lost in a restore
constexpr std::uint64_t fencing_token(const log_position& position)
{
    return (position.epoch << fencing_offset_bits) + position.offset + 1;
}

} // namespace medlaryoke::policy
