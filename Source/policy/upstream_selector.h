#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "base/clock.h"
#include "policy/prefix_index.h"
#include "policy/room.h"

namespace medlaryoke::policy {

/// What an entry knows of one upstream when it chooses.
struct upstream_candidate {
    std::uint64_t id = 0;           ///< stable hash of the upstream's name
    bool available = true;          ///< up, not leaving, not ejected
    unsigned reported_load = 0;     ///< running and queued requests in the last report
    unsigned reported_queued = 0;   ///< those of them that were queued
    unsigned dispatched_since = 0;  ///< own dispatches not yet covered by the report
    unsigned limit = 1;             ///< requests the agent admits at once
    duration first_token_latency{}; ///< smoothed; zero if unknown
};

/// What matters of a request when choosing.
struct request_features {
    /// Hashes of ever longer prefixes of the prompt, shortest first; empty for plain services.
    std::vector<std::uint64_t> prefix_hashes{};
    double cost = 1; ///< expected work, in tokens
    /// Whether the last slots of an upstream may be taken: if room_left() said scarce.
    bool may_use_reserve = true;
};

struct selector_options {
    prefix_index_options prefixes{};
    /// Latency above the median by this factor makes an upstream a straggler.
    double straggler_factor = 1.5;
    /// Upstreams whose score is this close to the best are chosen from at random, so that entries
    /// with the same reports do not all choose the same one. In parts of a whole prefill.
    double near_best = 0.2;
    /// Advantage of the upstream that a hash of the conversation selects, in whole prefills. All
    /// entries agree on it without messages, so turns meet their cache also when events are lost.
    double home_bonus = 0.8;
    /// Part of each upstream's limit, rounded down, that is kept for urgent work. The others find a
    /// slot free that is not yet known to be taken; a reserve counted over all upstreams made the
    /// entries compete for the same few slots.
    double reserve = 0.125;
};

/// Chooses the upstream for a request. Not thread safe.
class upstream_selector {
public:
    /// @param seed seed of the random choices
    /// @param options how strongly to prefer warm caches and to avoid stragglers
    explicit upstream_selector(std::uint64_t seed, selector_options options = {});

    /// Chooses an upstream that has room and is expected to give the first token early: requests
    /// that wait there, including own dispatches since the report, count as much as a mean request
    /// computes, and a warm prefix cache saves its part of the prompt.
    /// @param candidates the upstreams of the group
    /// @param request the request
    /// @param now the current time
    /// @return index into candidates, empty if none has room
    std::optional<std::size_t> choose(std::span<const upstream_candidate> candidates,
                                      const request_features& request, time_point now);

    /// Tells how to pop the next request: with what is left, choose() finds an upstream for it.
    /// @param candidates the upstreams of the group
    /// @return scarce if only reserved slots are free, empty if there are none
    [[nodiscard]] std::optional<room>
    room_left(std::span<const upstream_candidate> candidates) const;

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
        double miss = 0;  ///< part of the prompt that is not cached
        double score = 0; ///< expected time to the first token, in whole prefills
    };

    [[nodiscard]] std::vector<option> open_options(std::span<const upstream_candidate> candidates,
                                                   const request_features& request,
                                                   time_point now) const;

    selector_options options_;
    std::mt19937_64 random_;
    prefix_index index_;
    double mean_miss_ = 0.5;   ///< of the requests dispatched, smoothed
    time_point last_choice_{}; ///< stands in for the time of cache events
};

} // namespace medlaryoke::policy
