#include "base/digest.h"

#include <array>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include "base/error.h"

namespace medlaryoke {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

digest128 hash128(std::string_view data)
{
    const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
    return {.high = hash.high64, .low = hash.low64};
}

std::string to_string(const digest128& digest)
{
    return fmt::format("{:016x}{:016x}", digest.high, digest.low);
}

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned n = 0;
    if (EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr) != 1) {
        throw error(error_kind::internal, "SHA-256 is not available in the OpenSSL library",
                    "Install an OpenSSL build that provides SHA-256.");
    }
    return fmt::format("{:02x}", fmt::join(buf.begin(), buf.begin() + n, ""));
}

} // namespace medlaryoke
