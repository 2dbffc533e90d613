#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Limits of a prefix_index.
struct prefix_index_options {
    /// Maximum number of pairs of upstream and prefix; each takes about 120 bytes.
    std::size_t max_entries = 50'000;
    /// Time without use after which a prefix counts as evicted, in case its eviction event was
    /// lost.
    duration max_age = std::chrono::minutes(10);
    /// Maximum delay of eviction events. An event that arrives within this time after a dispatch
    /// may be older than the dispatch and is ignored.
    duration event_lag = std::chrono::seconds(3);
};

/// Tracks which upstream has which prompt prefixes in its cache. The result is an estimate, because
/// eviction events are delayed and may be lost. Not thread safe.
class prefix_index {
public:
    explicit prefix_index(prefix_index_options options = {});

    /// Records that an upstream computes, and therefore caches, the prefixes of a prompt. The least
    /// recently used entries beyond max_entries are erased.
    /// @param upstream id of the upstream
    /// @param prefixes hashes of the prompt's prefixes, shortest first
    /// @param now the current time
    void record(std::uint64_t upstream, std::span<const std::uint64_t> prefixes, time_point now);

    /// Records that an upstream evicted a prefix. Ignored if the prefix was last recorded
    /// less than event_lag ago.
    /// @param upstream id of the upstream
    /// @param prefix hash of the prefix
    /// @param now the current time
    void on_evicted(std::uint64_t upstream, std::uint64_t prefix, time_point now);

    /// Estimates how much of a prompt an upstream has cached.
    /// @param upstream id of the upstream
    /// @param prefixes hashes of the prompt's prefixes, shortest first
    /// @param now the current time
    /// @return number of prefixes, from the shortest, that are probably cached
    [[nodiscard]] std::size_t cached_prefix_count(std::uint64_t upstream,
                                                  std::span<const std::uint64_t> prefixes,
                                                  time_point now) const;

    /// @return number of pairs of upstream and prefix
    [[nodiscard]] std::size_t size() const { return this->by_key_.size(); }

private:
    struct cache_key {
        std::uint64_t upstream = 0;
        std::uint64_t prefix = 0;

        bool operator==(const cache_key&) const = default;
    };

    struct key_hash {
        std::size_t operator()(const cache_key& key) const noexcept
        {
            return key.prefix ^ (key.upstream * 0x9e3779b97f4a7c15ULL);
        }
    };

    struct cache_entry {
        cache_key key;
        time_point last_used;
    };

    prefix_index_options options_;
    std::list<cache_entry> by_last_use_; ///< most recently used first
    std::unordered_map<cache_key, std::list<cache_entry>::iterator, key_hash> by_key_;
};

} // namespace medlaryoke::policy
