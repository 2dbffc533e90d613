#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlaryoke {

/// A 128-bit XXH3 digest. It is not cryptographic.
struct digest128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const digest128&) const = default;
};

/// Hashes bytes with XXH3-64.
/// @param data the bytes
/// @param seed selects the hash function; different seeds give independent hashes
/// @return the hash; the same on every instance
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Hashes bytes with XXH3-128.
/// @param data the bytes
/// @return the digest; the same on every instance
digest128 hash128(std::string_view data);

/// @param digest the digest to print
/// @return 32 lower-case hexadecimal digits
std::string to_string(const digest128& digest);

/// Computes SHA-256, as used for callers' credentials.
/// @param data the bytes
/// @return 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view data);

} // namespace medlaryoke

/// Lets unordered containers use digests as keys.
template <>
struct std::hash<medlaryoke::digest128> {
    std::size_t operator()(const medlaryoke::digest128& digest) const noexcept
    {
        return digest.low;
    }
};
