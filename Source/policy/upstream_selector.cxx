#include "policy/upstream_selector.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

unsigned expected_load(const upstream_candidate& candidate)
{
    return candidate.reported_load + candidate.dispatched_since;
}

bool has_room(const upstream_candidate& candidate)
{
    return candidate.available && expected_load(candidate) < candidate.limit;
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
    const auto open = this->open_options(candidates);
    if (open.empty()) {
        return std::nullopt;
    }
    auto chosen = this->choose_warm(candidates, open, request, now);
    if (!chosen) {
        std::uniform_int_distribution<std::size_t> pick(0, open.size() - 1);
        const auto& first = open[pick(this->random_)];
        const auto& second = open[pick(this->random_)];
        chosen = second.score < first.score ? second.index : first.index;
    }
    this->index_.record(candidates[*chosen].id, request.prefix_hashes, now);
    return chosen;
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
upstream_selector::open_options(std::span<const upstream_candidate> candidates) const
{
    const auto typical = static_cast<double>(median_latency(candidates).count());
    std::vector<option> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!has_room(it)) {
            continue;
        }
        auto score = (1.0 + expected_load(it)) / it.limit;
        const auto latency = static_cast<double>(it.first_token_latency.count());
        if (typical > 0 && latency > typical * this->options_.straggler_factor) {
            score *= latency / typical;
        }
        open.push_back({i, score});
    }
    return open;
}

std::optional<std::size_t>
upstream_selector::choose_warm(std::span<const upstream_candidate> candidates,
                               std::span<const option> open, const request_features& request,
                               time_point now) const
{
    if (request.prefix_hashes.empty()) {
        return std::nullopt;
    }
    double sum = 0;
    for (const auto& it : open) {
        sum += it.score;
    }
    const auto bound = this->options_.load_bound * sum / static_cast<double>(open.size());
    const option* best = nullptr;
    std::size_t best_depth = 0;
    for (const auto& it : open) {
        if (it.score > bound) {
            continue;
        }
        const auto depth = this->index_.depth(candidates[it.index].id, request.prefix_hashes, now);
        if (depth > best_depth ||
            (best != nullptr && depth == best_depth && it.score < best->score)) {
            best = &it;
            best_depth = depth;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->index);
}

} // namespace medlaryoke::policy
