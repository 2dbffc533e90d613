#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlaryoke::filters {

/// Difference in length between two successive hashed prefixes, about 64 tokens of English text. It
/// is a multiple of the engines' cache block size, so that their cache events contain the same
/// hashes.
constexpr std::size_t prefix_block_bytes = 256;
/// Length of the longest hashed prefix, in blocks (16 KiB). Longer ones improve routing only
/// slightly.
constexpr std::size_t max_prefix_blocks = 64;

/// Hashes the prefixes of a prompt that consist of whole blocks with XXH3-64.
/// @param prompt the text of all messages: role, line break, content, line break
/// @return one hash for each prefix, shortest prefix first
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

} // namespace medlaryoke::filters
