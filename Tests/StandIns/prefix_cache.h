#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlaryoke::standins {

/// A block that was stored in the cache or evicted from it.
struct cache_change {
    std::uint64_t block = 0; ///< hash of the prompt prefix
    bool stored = false;     ///< false: evicted
};

/// Prompt prefix cache of an engine: the least recently used blocks are evicted. Not thread safe.
class prefix_cache {
public:
    /// @param capacity largest number of blocks; 0: no cache
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Looks up a prompt and stores it.
    /// @param blocks hashes of the prefixes of the prompt, the shortest first
    /// @param changes the stored and evicted blocks are appended to it
    /// @return number of leading blocks that were already stored
    std::size_t look_up_and_store(const std::vector<std::uint64_t>& blocks,
                                  std::vector<cache_change>& changes);

    /// @return number of stored blocks
    [[nodiscard]] std::size_t size() const { return this->positions_.size(); }

private:
    std::size_t capacity_;
    std::list<std::uint64_t> blocks_by_use_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace medlaryoke::standins
