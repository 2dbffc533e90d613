#include "base/identifiers.h"

#include <random>

#include <fmt/format.h>

namespace medlaryoke {

std::uint64_t random_bits()
{
    thread_local std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution;
    return distribution(device);
}

std::uint64_t make_random_id()
{
    return random_bits() | 1U;
}

std::string make_unique_id(const std::string& prefix)
{
    return fmt::format("{}-{:016x}{:016x}", prefix, random_bits(), random_bits());
}

} // namespace medlaryoke
