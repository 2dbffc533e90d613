#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlaryoke::filters {

/// Bytes of prompt between two hashed prefixes, about 64 tokens of English text. A multiple of the
/// engines' cache blocks, so that their cache events name the same hashes.
constexpr std::size_t prefix_block_bytes = 256;
/// Longest prefix that is hashed, in blocks (16 KiB); routing gains little from longer ones.
constexpr std::size_t max_prefix_blocks = 64;

/// Hashes ever longer prefixes of a prompt with XXH3-64.
/// @param prompt the text of all messages: role, line break, content, line break
/// @return one hash for each whole block, shortest prefix first
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

} // namespace medlaryoke::filters
