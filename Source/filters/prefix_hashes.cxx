#include "filters/prefix_hashes.h"

#include "base/stream_digest.h"

namespace medlaryoke::filters {

std::vector<std::uint64_t> hash_prefixes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    stream_digest digest;
    while (prompt.size() >= prefix_block_bytes && hashes.size() < max_prefix_blocks) {
        digest.update(prompt.substr(0, prefix_block_bytes));
        hashes.push_back(digest.value());
        prompt.remove_prefix(prefix_block_bytes);
    }
    return hashes;
}

} // namespace medlaryoke::filters
