#pragma once

#include <cstdint>
#include <string>

namespace medlaryoke {

/// Draws 64 random bits from the operating system.
/// @return a number that no other process is expected to draw
std::uint64_t random_bits();

/// Makes an identifier for one life of a process: a restarted process has another one.
/// @return a non-zero number
std::uint64_t make_incarnation();

/// Makes a globally unique identifier.
/// @param prefix names what is identified, such as `req`
/// @return the prefix, a hyphen and 32 hexadecimal digits
std::string make_unique_id(const std::string& prefix);

} // namespace medlaryoke
