#pragma once

#include <cstdint>
#include <string>

namespace medlaryoke {

/// Reads 64 random bits from the operating system.
/// @return a number that is unique in practice
std::uint64_t random_bits();

/// Makes a random identifier, such as that of a process incarnation, an operation or a batch. A
/// restarted process gets a different one.
/// @return a non-zero number
std::uint64_t make_random_id();

/// Makes a globally unique identifier.
/// @param prefix names what is identified, such as `req`
/// @return the prefix, a hyphen and 32 hexadecimal digits
std::string make_unique_id(const std::string& prefix);

} // namespace medlaryoke
