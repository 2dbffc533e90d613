#include "policy/upstream_selector.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

constexpr double uncached_smoothing = 0.05; ///< weight of the newest request

unsigned expected_load(const upstream_candidate& candidate)
{
    return candidate.reported_load + candidate.unreported_dispatches;
}

bool has_free_slot(const upstream_candidate& candidate, double reserved_fraction)
{
    const auto reserved_slots = static_cast<unsigned>(reserved_fraction * candidate.limit);
    return candidate.available && expected_load(candidate) + reserved_slots < candidate.limit;
}

/// Selects an upstream by rendezvous hashing of the second prefix. The first prefix is often shared
/// by all conversations of an organisation.
/// @return id of the upstream; 0 without prefixes or available upstreams
std::uint64_t preferred_upstream(std::span<const upstream_candidate> candidates,
                                 const request_features& request)
{
    const auto& hashes = request.prefix_hashes;
    if (hashes.empty()) {
        return 0;
    }
    const auto key = hashes[std::min<std::size_t>(1, hashes.size() - 1)];
    std::uint64_t preferred = 0;
    std::uint64_t best_hash = 0;
    for (const auto& it : candidates) {
        const std::array<std::uint64_t, 2> pair = {key, it.id};
        const auto hash =
            hash64({reinterpret_cast<const char*>(pair.data()), sizeof(pair)}); // NOLINT
        if (it.available && hash > best_hash) {
            best_hash = hash;
            preferred = it.id;
        }
    }
    return preferred;
}

duration median_latency(std::span<const upstream_candidate> candidates)
{
    std::vector<duration> latencies;
    for (const auto& it : candidates) {
        if (it.available && it.first_token_latency > duration::zero()) {
            latencies.push_back(it.first_token_latency);
        }
    }
    if (latencies.empty()) {
        return duration::zero();
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

} // namespace

upstream_selector::upstream_selector(std::uint64_t seed, selector_options options)
    : options_(options), random_(seed), index_(options.prefixes)
{
}

std::optional<std::size_t> upstream_selector::choose(std::span<const upstream_candidate> candidates,
                                                     const request_features& request,
                                                     time_point now)
{
    this->last_choice_at_ = std::max(this->last_choice_at_, now);
    const auto scored = this->score_candidates(candidates, request, now);
    if (scored.empty()) {
        return std::nullopt;
    }
    const auto best = std::ranges::min(scored, {}, &scored_candidate::score).score;
    std::vector<scored_candidate> tied;
    std::ranges::copy_if(scored, std::back_inserter(tied), [&](const scored_candidate& it) {
        return it.score <= best + this->options_.tie_margin;
    });
    std::uniform_int_distribution<std::size_t> pick(0, tied.size() - 1);
    const auto& chosen = tied[pick(this->random_)];
    this->mean_uncached_fraction_ +=
        uncached_smoothing * (chosen.uncached_fraction - this->mean_uncached_fraction_);
    this->index_.record(candidates[chosen.index].id, request.prefix_hashes, now);
    return chosen.index;
}

std::optional<slot_availability>
upstream_selector::assess_slots(std::span<const upstream_candidate> candidates) const
{
    const auto any = [&](double reserved_fraction) {
        return std::ranges::any_of(
            candidates, [&](const auto& it) { return has_free_slot(it, reserved_fraction); });
    };
    if (any(this->options_.reserved_fraction)) {
        return slot_availability::ample;
    }
    return any(0) ? std::optional(slot_availability::reserve_only) : std::nullopt;
}

void upstream_selector::discard_prefix(std::uint64_t upstream, std::uint64_t prefix_hash)
{
    this->index_.on_evicted(upstream, prefix_hash, this->last_choice_at_);
}

void upstream_selector::record_prefix(std::uint64_t upstream, std::uint64_t prefix_hash)
{
    this->index_.record(upstream, {&prefix_hash, 1}, this->last_choice_at_);
}

std::vector<upstream_selector::scored_candidate>
upstream_selector::score_candidates(std::span<const upstream_candidate> candidates,
                                    const request_features& request, time_point now) const
{
    const auto median = static_cast<double>(median_latency(candidates).count());
    const auto reserved_fraction = request.may_use_reserve ? 0 : this->options_.reserved_fraction;
    const auto preferred = preferred_upstream(candidates, request);
    const auto prefixes = static_cast<double>(request.prefix_hashes.size());
    std::vector<scored_candidate> scored;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!has_free_slot(it, reserved_fraction)) {
            continue;
        }
        const auto depth = this->index_.cached_prefix_count(it.id, request.prefix_hashes, now);
        const auto uncached_fraction =
            prefixes > 0 ? 1 - static_cast<double>(depth) / prefixes : 1.0;
        const auto waiting = static_cast<double>(it.reported_queued + it.unreported_dispatches);
        const auto load = static_cast<double>(expected_load(it)) / it.limit;
        const auto affinity =
            prefixes > 0 && it.id == preferred ? this->options_.affinity_bonus : 0.0;
        auto score = waiting * this->mean_uncached_fraction_ + uncached_fraction + load - affinity;
        const auto latency = static_cast<double>(it.first_token_latency.count());
        if (median > 0 && latency > median * this->options_.straggler_factor) {
            score = (score + affinity) * latency / median - affinity;
        }
        scored.push_back({i, uncached_fraction, score});
    }
    return scored;
}

} // namespace medlaryoke::policy
