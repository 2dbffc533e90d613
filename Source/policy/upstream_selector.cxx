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

/// Expected wait: the load relative to the limit, stretched for a slow upstream.
double score(const upstream_candidate& candidate, duration typical)
{
    const auto load = (1.0 + expected_load(candidate)) / candidate.limit;
    if (candidate.first_token_latency <= typical || typical <= duration::zero()) {
        return load;
    }
    return load * static_cast<double>(candidate.first_token_latency.count()) /
           static_cast<double>(typical.count());
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

upstream_selector::upstream_selector(std::uint64_t seed) : random_(seed) {}

std::optional<std::size_t> upstream_selector::choose(std::span<const upstream_candidate> candidates,
                                                     const request_features& /*request*/,
                                                     time_point /*now*/)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (has_room(candidates[i])) {
            open.push_back(i);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    const auto typical = median_latency(candidates);
    std::uniform_int_distribution<std::size_t> pick(0, open.size() - 1);
    const auto first = open[pick(this->random_)];
    const auto second = open[pick(this->random_)];
    return score(candidates[second], typical) < score(candidates[first], typical) ? second : first;
}

void upstream_selector::forget_prefix(std::uint64_t /*upstream*/, std::uint64_t /*prefix_hash*/) {}

} // namespace medlaryoke::policy
