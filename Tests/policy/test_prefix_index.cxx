#include "policy/prefix_index.h"

#include <algorithm>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using medlaryoke::time_point;
using medlaryoke::policy::prefix_index;
using medlaryoke::policy::prefix_index_options;
using namespace std::chrono_literals;

namespace {

/// Reference implementation: a list in the order of use, searched linearly.
struct reference_index {
    struct entry {
        std::uint64_t upstream;
        std::uint64_t prefix;
        time_point last_used;
    };

    prefix_index_options options;
    std::vector<entry> entries{}; ///< least recently used first

    auto find(std::uint64_t upstream, std::uint64_t prefix)
    {
        return std::ranges::find_if(this->entries, [&](const auto& it) {
            return it.upstream == upstream && it.prefix == prefix;
        });
    }

    void record(std::uint64_t upstream, std::vector<std::uint64_t> prefixes, time_point now)
    {
        std::ranges::reverse(prefixes);
        for (const auto prefix : prefixes) {
            if (const auto it = this->find(upstream, prefix); it != this->entries.end()) {
                this->entries.erase(it);
            }
            this->entries.push_back({upstream, prefix, now});
        }
        while (this->entries.size() > this->options.max_entries) {
            this->entries.erase(this->entries.begin());
        }
    }

    void on_evicted(std::uint64_t upstream, std::uint64_t prefix, time_point now)
    {
        const auto it = this->find(upstream, prefix);
        if (it != this->entries.end() && now - it->last_used >= this->options.event_lag) {
            this->entries.erase(it);
        }
    }

    std::size_t cached_prefix_count(std::uint64_t upstream,
                                    const std::vector<std::uint64_t>& prefixes, time_point now)
    {
        std::size_t depth = 0;
        for (std::size_t n = 1; n <= prefixes.size(); ++n) {
            const auto it = this->find(upstream, prefixes[n - 1]);
            if (it != this->entries.end() && now - it->last_used <= this->options.max_age) {
                depth = n;
            }
        }
        return depth;
    }
};

} // namespace

// Guards against inconsistencies between the list and the map of the index, and against unbounded
// memory use.
Test(prefix_index, agrees_with_the_reference_implementation)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        const prefix_index_options options{
            .max_entries = 1 + random() % 40, .max_age = 50s, .event_lag = 3s};
        prefix_index index(options);
        reference_index reference{options};
        time_point now{};
        for (int i = 0; i < 500; ++i) {
            now += std::chrono::seconds(random() % 4);
            const auto upstream = random() % 4;
            std::vector<std::uint64_t> prefixes;
            for (std::uint64_t n = 0; n < random() % 4; ++n) {
                prefixes.push_back(n * 100 + random() % 4);
            }
            const auto prefix = random() % 4;
            switch (random() % 3) {
            case 0:
                index.record(upstream, prefixes, now);
                reference.record(upstream, prefixes, now);
                break;
            case 1:
                index.on_evicted(upstream, prefix, now);
                reference.on_evicted(upstream, prefix, now);
                break;
            default:
                cr_assert(index.cached_prefix_count(upstream, prefixes, now) ==
                              reference.cached_prefix_count(upstream, prefixes, now),
                          "seed %lu step %d", seed, i);
            }
            cr_assert(index.size() == reference.entries.size() &&
                      index.size() <= options.max_entries);
        }
    }
}

// Guards against a late eviction event that removes a prefix which a newer dispatch has cached
// again, and against a lost event that leaves a prefix in the index forever.
Test(prefix_index, tolerates_late_and_lost_events)
{
    prefix_index index({.max_age = 60s, .event_lag = 3s});
    const std::vector<std::uint64_t> prefixes = {7, 8};
    index.record(1, prefixes, time_point{10s});
    index.on_evicted(1, 8, time_point{12s});
    cr_assert(index.cached_prefix_count(1, prefixes, time_point{12s}) == 2);
    index.on_evicted(1, 8, time_point{13s});
    cr_assert(index.cached_prefix_count(1, prefixes, time_point{13s}) == 1);
    cr_assert(index.cached_prefix_count(1, prefixes, time_point{71s}) == 0);
}
