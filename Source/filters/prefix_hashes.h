#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlaryoke::filters {

/// Bytes of prompt between two hashed prefixes; about 64 tokens of English text.
constexpr std::size_t prefix_block_bytes = 256;
/// Longest prefix that is hashed, in blocks (16 KiB); routing gains little from longer ones.
constexpr std::size_t max_prefix_blocks = 64;

/// Hashes ever longer prefixes of a prompt.
/// @param model part of each hash, because caches of different models share nothing
/// @param prompt the text of all messages in order
/// @return one hash for each whole block, shortest prefix first
std::vector<std::uint64_t> hash_prefixes(std::string_view model, std::string_view prompt);

} // namespace medlaryoke::filters
