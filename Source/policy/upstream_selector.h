#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "base/clock.h"

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

/// Chooses the upstream for a request. Not thread safe.
class upstream_selector {
public:
    /// @param seed seed of the random choices
    explicit upstream_selector(std::uint64_t seed);

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

private:
    std::mt19937_64 random_;
};

} // namespace medlaryoke::policy
