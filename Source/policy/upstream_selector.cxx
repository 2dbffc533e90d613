#include "policy/upstream_selector.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

constexpr double miss_smoothing = 0.05;

unsigned expected_load(const upstream_candidate& candidate)
{
    return candidate.reported_load + candidate.dispatched_since;
}

bool has_room(const upstream_candidate& candidate, double reserve)
{
    const auto kept = static_cast<unsigned>(reserve * candidate.limit);
    return candidate.available && expected_load(candidate) + kept < candidate.limit;
}

/// @return id of the upstream that the second prefix selects by rendezvous hashing. The first one
/// is often shared by all conversations of an organisation.
std::uint64_t home_of(std::span<const upstream_candidate> candidates,
                      const request_features& request)
{
    const auto& hashes = request.prefix_hashes;
    if (hashes.empty()) {
        return 0;
    }
    const auto key = hashes[std::min<std::size_t>(1, hashes.size() - 1)];
    std::uint64_t home = 0;
    std::uint64_t best = 0;
    for (const auto& it : candidates) {
        const std::array<std::uint64_t, 2> pair = {key, it.id};
        const auto rank =
            hash64({reinterpret_cast<const char*>(pair.data()), sizeof(pair)}); // NOLINT
        if (it.available && rank > best) {
            best = rank;
            home = it.id;
        }
    }
    return home;
}

duration median_latency(std::span<const upstream_candidate> candidates)
{
    std::vector<duration> known;
    for (const auto& it : candidates) {
        if (it.available && it.first_token_latency > duration::zero()) {
            known.push_back(it.first_token_latency);
        }
    }
    if (known.empty()) {
        return duration::zero();
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
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
    this->last_choice_ = std::max(this->last_choice_, now);
    const auto open = this->open_options(candidates, request, now);
    if (open.empty()) {
        return std::nullopt;
    }
    const auto best = std::ranges::min(open, {}, &option::score).score;
    std::vector<option> near;
    std::ranges::copy_if(open, std::back_inserter(near), [&](const option& it) {
        return it.score <= best + this->options_.near_best;
    });
    std::uniform_int_distribution<std::size_t> pick(0, near.size() - 1);
    const auto& chosen = near[pick(this->random_)];
    this->mean_miss_ += miss_smoothing * (chosen.miss - this->mean_miss_);
    this->index_.record(candidates[chosen.index].id, request.prefix_hashes, now);
    return chosen.index;
}

std::optional<room>
upstream_selector::room_left(std::span<const upstream_candidate> candidates) const
{
    const auto any = [&](double reserve) {
        return std::ranges::any_of(candidates,
                                   [&](const auto& it) { return has_room(it, reserve); });
    };
    if (any(this->options_.reserve)) {
        return room::ample;
    }
    return any(0) ? std::optional(room::scarce) : std::nullopt;
}

void upstream_selector::forget_prefix(std::uint64_t upstream, std::uint64_t prefix_hash)
{
    this->index_.forget(upstream, prefix_hash, this->last_choice_);
}

void upstream_selector::note_prefix(std::uint64_t upstream, std::uint64_t prefix_hash)
{
    this->index_.record(upstream, {&prefix_hash, 1}, this->last_choice_);
}

std::vector<upstream_selector::option>
upstream_selector::open_options(std::span<const upstream_candidate> candidates,
                                const request_features& request, time_point now) const
{
    const auto typical = static_cast<double>(median_latency(candidates).count());
    const auto reserve = request.may_use_reserve ? 0 : this->options_.reserve;
    const auto home = home_of(candidates, request);
    const auto prefixes = static_cast<double>(request.prefix_hashes.size());
    std::vector<option> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!has_room(it, reserve)) {
            continue;
        }
        const auto depth = this->index_.depth(it.id, request.prefix_hashes, now);
        const auto miss = prefixes > 0 ? 1 - static_cast<double>(depth) / prefixes : 1.0;
        const auto waiting = static_cast<double>(it.reported_queued + it.dispatched_since);
        const auto load = static_cast<double>(expected_load(it)) / it.limit;
        const auto bonus = prefixes > 0 && it.id == home ? this->options_.home_bonus : 0.0;
        auto score = waiting * this->mean_miss_ + miss + load - bonus;
        const auto latency = static_cast<double>(it.first_token_latency.count());
        if (typical > 0 && latency > typical * this->options_.straggler_factor) {
            score = (score + bonus) * latency / typical - bonus;
        }
        open.push_back({i, miss, score});
    }
    return open;
}

} // namespace medlaryoke::policy
