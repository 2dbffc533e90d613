#include "filters/prefix_hashes.h"

#include "base/digest.h"

namespace medlaryoke::filters {

std::vector<std::uint64_t> hash_prefixes(std::string_view model, std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    auto hash = hash64(model);
    while (prompt.size() >= prefix_block_bytes && hashes.size() < max_prefix_blocks) {
        hash = hash64(prompt.substr(0, prefix_block_bytes), hash);
        hashes.push_back(hash);
        prompt.remove_prefix(prefix_block_bytes);
    }
    return hashes;
}

} // namespace medlaryoke::filters
