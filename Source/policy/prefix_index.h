#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "base/clock.h"

namespace medlaryoke::policy {

struct prefix_index_options {
    /// Most remembered pairs of upstream and prefix; one takes about 120 bytes.
    std::size_t max_entries = 50'000;
    /// After this without use a prefix is taken to be evicted, in case the event was lost.
    duration max_age = std::chrono::minutes(10);
    /// An eviction reported within this time of a dispatch is older than the dispatch.
    duration event_lag = std::chrono::seconds(3);
};

/// Remembers which upstream holds which prompt prefix in its cache. A hint: events about evictions
/// are late and have gaps. Not thread safe.
class prefix_index {
public:
    explicit prefix_index(prefix_index_options options = {});

    /// Notes that an upstream computes, and so caches, the prefixes of a prompt.
    /// @param upstream id of the upstream
    /// @param prefixes hashes of ever longer prefixes, shortest first
    /// @param now the current time
    void record(std::uint64_t upstream, std::span<const std::uint64_t> prefixes, time_point now);

    /// Notes that an upstream dropped a prefix; ignored shortly after a dispatch of that prefix.
    /// @param upstream id of the upstream
    /// @param prefix the prefix
    /// @param now the current time
    void forget(std::uint64_t upstream, std::uint64_t prefix, time_point now);

    /// Looks up how much of a prompt an upstream has cached.
    /// @param upstream id of the upstream
    /// @param prefixes hashes of ever longer prefixes, shortest first
    /// @param now the current time
    /// @return number of leading prefixes that are thought to be cached
    [[nodiscard]] std::size_t depth(std::uint64_t upstream, std::span<const std::uint64_t> prefixes,
                                    time_point now) const;

    /// @return number of remembered pairs
    [[nodiscard]] std::size_t size() const { return this->by_key_.size(); }

private:
    struct key_type {
        std::uint64_t upstream = 0;
        std::uint64_t prefix = 0;

        bool operator==(const key_type&) const = default;
    };

    struct key_hash {
        std::size_t operator()(const key_type& key) const noexcept
        {
            return key.prefix ^ (key.upstream * 0x9e3779b97f4a7c15ULL);
        }
    };

    struct entry {
        key_type key;
        time_point used;
    };

    prefix_index_options options_;
    std::list<entry> by_use_; ///< most recently used first
    std::unordered_map<key_type, std::list<entry>::iterator, key_hash> by_key_;
};

} // namespace medlaryoke::policy
