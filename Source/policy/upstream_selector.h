#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "base/clock.h"
#include "policy/prefix_index.h"

namespace medlaryoke::policy {

/// What an entry knows of one upstream when it chooses.
struct upstream_candidate {
    std::uint64_t id = 0;           ///< stable hash of the upstream's name
    bool available = true;          ///< up, not leaving, not ejected
    unsigned reported_load = 0;     ///< running and queued requests in the last report
    unsigned dispatched_since = 0;  ///< own dispatches not yet covered by the report
    unsigned limit = 1;             ///< requests the agent admits at once
    duration first_token_latency{}; ///< smoothed; zero if unknown
};

/// What matters of a request when choosing.
struct request_features {
    /// Hashes of ever longer prefixes of the prompt, shortest first; empty for plain services.
    std::vector<std::uint64_t> prefix_hashes;
    double cost = 1; ///< expected work, in tokens
};

struct selector_options {
    prefix_index_options prefixes;
    /// A warm upstream is preferred while its load is at most this many times the mean.
    double load_bound = 1.25;
    /// Latency above the median by this factor makes an upstream a straggler.
    double straggler_factor = 1.5;
};

/// Chooses the upstream for a request. Not thread safe.
class upstream_selector {
public:
    /// @param seed seed of the random choices
    /// @param options how strongly to prefer warm caches and to avoid stragglers
    explicit upstream_selector(std::uint64_t seed, selector_options options = {});

    /// Chooses an upstream that has room, preferring a warm prefix cache within bounded load.
    /// @param candidates the upstreams of the group
    /// @param request the request
    /// @param now the current time
    /// @return index into candidates, empty if none has room
    std::optional<std::size_t> choose(std::span<const upstream_candidate> candidates,
                                      const request_features& request, time_point now);

    /// Learns that an upstream dropped a cached prefix; may come late or never.
    /// @param upstream id of the upstream
    /// @param prefix_hash the prefix
    void forget_prefix(std::uint64_t upstream, std::uint64_t prefix_hash);

    /// Learns that an upstream cached a prefix for a request of another entry.
    /// @param upstream id of the upstream
    /// @param prefix_hash the prefix
    void note_prefix(std::uint64_t upstream, std::uint64_t prefix_hash);

private:
    struct option {
        std::size_t index = 0;
        double score = 0; ///< expected wait, relative
    };

    [[nodiscard]] std::vector<option>
    open_options(std::span<const upstream_candidate> candidates) const;
    [[nodiscard]] std::optional<std::size_t>
    choose_warm(std::span<const upstream_candidate> candidates, std::span<const option> open,
                const request_features& request, time_point now) const;

    selector_options options_;
    std::mt19937_64 random_;
    prefix_index index_;
    time_point last_choice_{}; ///< stands in for the time of cache events
};

} // namespace medlaryoke::policy
