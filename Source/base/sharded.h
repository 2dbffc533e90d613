#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace medlaryoke {

/// A map split into shards, each with its own lock. At most one shard is locked at a time.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    using map_type = std::unordered_map<Key, Value>;

    /// Runs a function on the shard of a key, under that shard's lock.
    /// @param key selects the shard
    /// @param fn called with the shard's map; must not call into this object
    /// @return what the function returns
    template <typename Function>
    decltype(auto) with(const Key& key, Function&& fn)
    {
        auto& shard = this->shards_[std::hash<Key>{}(key) % ShardCount];
        const std::scoped_lock lock(shard.mutex);
        return std::forward<Function>(fn)(shard.entries);
    }

    /// Runs a function on each shard in turn, each under its own lock.
    /// @param fn called with the map of each shard; must not call into this object
    template <typename Function>
    void for_each_shard(Function&& fn)
    {
        for (auto& shard : this->shards_) {
            const std::scoped_lock lock(shard.mutex);
            fn(shard.entries);
        }
    }

private:
    struct shard_type {
        std::mutex mutex;
        map_type entries;
    };

    std::array<shard_type, ShardCount> shards_;
};

} // namespace medlaryoke
