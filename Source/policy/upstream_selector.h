#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "base/clock.h"
#include "policy/prefix_index.h"
#include "policy/slot_availability.h"

namespace medlaryoke::policy {

/// State of one upstream, as known to the entry that chooses.
struct upstream_candidate {
    std::uint64_t id = 0;               ///< stable hash of the upstream's name
    bool available = true;              ///< connected, not draining and not ejected
    unsigned reported_load = 0;         ///< running and queued requests in the last report
    unsigned reported_queued = 0;       ///< those of them that were queued
    unsigned unreported_dispatches = 0; ///< own dispatches not yet included in the report
    unsigned limit = 1;                 ///< requests the agent admits at once
    duration first_token_latency{};     ///< moving average; zero if unknown
};

/// Properties of a request that matter for the choice.
struct request_features {
    /// Hashes of prompt prefixes of increasing length; empty for plain services.
    std::vector<std::uint64_t> prefix_hashes{};
    double cost = 1; ///< expected work, in tokens
    /// Whether the reserved slots of an upstream may be used, as when no other slots are free.
    bool may_use_reserve = true;
};

struct selector_options {
    prefix_index_options prefixes{};
    /// Multiple of the median first token latency above which an upstream is a straggler.
    double straggler_factor = 1.5;
    /// Score difference to the best upstream, in whole prefills, within which the choice is random,
    /// so that entries with the same reports do not all choose the same upstream.
    double tie_margin = 0.2;
    /// Score advantage, in whole prefills, of the upstream selected by a hash of the conversation.
    /// All entries select the same one without communication, so that later turns of a conversation
    /// find their cached prefix even if cache events are lost.
    double affinity_bonus = 0.8;
    /// Fraction of each upstream's limit, rounded down, that is reserved for urgent requests. Less
    /// urgent requests may be sent to a slot that is in use but not yet reported so. A reserve
    /// counted over all upstreams made the entries compete for the same few slots.
    double reserved_fraction = 0.125;
};

/// Chooses the upstream for a request by load, latency and cached prefixes. Not thread safe.
class upstream_selector {
public:
    /// @param seed seed of the random choices
    /// @param options weights and limits of the choice
    explicit upstream_selector(std::uint64_t seed, selector_options options = {});

    /// Chooses an upstream that has a free slot and a low expected time to the first token. Each
    /// request that waits there, including own dispatches since the report, adds the mean uncached
    /// fraction of a prompt; cached prefixes reduce the prefill of the request itself.
    /// @param candidates the upstreams of the group
    /// @param request the request
    /// @param now the current time
    /// @return index into candidates, empty if none has a free slot
    std::optional<std::size_t> choose(std::span<const upstream_candidate> candidates,
                                      const request_features& request, time_point now);

    /// Finds out which requests choose() can place, before one is taken from the queue.
    /// @param candidates the upstreams of the group
    /// @return which slots are free; empty if there are none
    [[nodiscard]] std::optional<slot_availability>
    assess_slots(std::span<const upstream_candidate> candidates) const;

    /// Records that an upstream evicted a cached prefix. Such events may be late or lost.
    /// @param upstream id of the upstream
    /// @param prefix_hash hash of the prefix
    void discard_prefix(std::uint64_t upstream, std::uint64_t prefix_hash);

    /// Records that an upstream cached a prefix for a request of another entry.
    /// @param upstream id of the upstream
    /// @param prefix_hash hash of the prefix
    void record_prefix(std::uint64_t upstream, std::uint64_t prefix_hash);

private:
    struct scored_candidate {
        std::size_t index = 0;
        double uncached_fraction = 0; ///< fraction of the prompt that is not cached
        double score = 0;             ///< expected time to the first token, in whole prefills
    };

    [[nodiscard]] std::vector<scored_candidate>
    score_candidates(std::span<const upstream_candidate> candidates,
                     const request_features& request, time_point now) const;

    selector_options options_;
    std::mt19937_64 random_;
    prefix_index index_;
    double mean_uncached_fraction_ = 0.5; ///< moving average over dispatches
    time_point last_choice_at_{};         ///< used as the time of cache events
};

} // namespace medlaryoke::policy
