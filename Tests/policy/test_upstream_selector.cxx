#include "policy/upstream_selector.h"

#include <map>
#include <random>
#include <set>

#include <criterion/criterion.h>

using medlaryoke::time_point;
using medlaryoke::policy::request_features;
using medlaryoke::policy::slot_availability;
using medlaryoke::policy::upstream_candidate;
using medlaryoke::policy::upstream_selector;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t none = 99;

// Returns a plain index, because clang-tidy's check of optionals takes minutes for long tests.
std::size_t choose(upstream_selector& selector, const std::vector<upstream_candidate>& candidates,
                   const request_features& request = {}, time_point now = time_point{})
{
    return selector.choose(candidates, request, now).value_or(none);
}

bool is_ample(const upstream_selector& selector, const std::vector<upstream_candidate>& candidates)
{
    return selector.assess_slots(candidates).value_or(slot_availability::reserve_only) ==
           slot_availability::ample;
}

bool is_reserve_only(const upstream_selector& selector,
                     const std::vector<upstream_candidate>& candidates)
{
    return selector.assess_slots(candidates).value_or(slot_availability::ample) ==
           slot_availability::reserve_only;
}

} // namespace

// Guards against requests that are sent to a full or unavailable upstream.
Test(upstream_selector, chooses_only_upstreams_with_free_slots)
{
    const std::vector<upstream_candidate> full = {
        {.id = 1, .available = false, .limit = 9},
        {.id = 2, .reported_load = 3, .unreported_dispatches = 2, .limit = 5}};
    upstream_selector selector(1);
    cr_assert(choose(selector, full, {}) == none);
    cr_assert(choose(selector, {}, {}) == none);
    auto with_free_slot = full;
    with_free_slot.push_back({.id = 3, .reported_load = 1, .limit = 2});
    for (int i = 0; i < 100; ++i) {
        cr_assert(choose(selector, with_free_slot, {.prefix_hashes = {5}}) == 2);
    }
}

// Guards against less urgent requests that take the reserved slots, and against a small limit that
// consists only of reserved slots.
Test(upstream_selector, reserves_the_last_slots_for_urgent_requests)
{
    const upstream_selector checker(1, {.reserved_fraction = 0.25});
    upstream_selector selector(1, {.reserved_fraction = 0.25});
    std::vector<upstream_candidate> candidates = {{.id = 1, .reported_load = 5, .limit = 8},
                                                  {.id = 2, .reported_load = 6, .limit = 8}};
    const request_features batch{.may_use_reserve = false};
    cr_assert(is_ample(checker, candidates));
    for (int i = 0; i < 50; ++i) {
        cr_assert(choose(selector, candidates, batch) == 0);
    }
    candidates[0].unreported_dispatches = 1;
    cr_assert(is_reserve_only(checker, candidates));
    cr_assert(choose(selector, candidates, batch) == none);
    cr_assert(choose(selector, candidates, {}) != none);
    candidates[0].reported_load = candidates[1].reported_load = 8;
    cr_assert(!is_ample(checker, candidates) && !is_reserve_only(checker, candidates));
    const std::vector<upstream_candidate> small = {{.id = 1, .limit = 1}};
    cr_assert(is_ample(checker, small));
}

// Guards against entries that all choose the least loaded upstream because they have the same
// report.
Test(upstream_selector, does_not_herd_on_the_least_loaded)
{
    std::vector<upstream_candidate> candidates;
    for (std::uint64_t id = 0; id < 10; ++id) {
        candidates.push_back({.id = id, .reported_load = id == 3 ? 0U : 2U, .limit = 20});
    }
    std::map<std::size_t, int> chosen;
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        upstream_selector selector(seed);
        ++chosen[choose(selector, candidates, {})];
    }
    cr_assert(chosen[3] < 200, "%d of 1000", chosen[3]);
}

// Guards against a slow upstream that gets as many requests as the others because its load is
// equal.
Test(upstream_selector, avoids_a_straggler)
{
    std::vector<upstream_candidate> candidates;
    for (std::uint64_t id = 0; id < 4; ++id) {
        candidates.push_back({.id = id,
                              .reported_load = 4,
                              .limit = 20,
                              .first_token_latency = id == 2 ? 900ms : 300ms});
    }
    upstream_selector selector(1);
    for (int i = 0; i < 100; ++i) {
        cr_assert(choose(selector, candidates, {}) != 2);
    }
}

namespace {

/// Reference implementation that computes each score from a set of cached prefixes.
struct reference_selector {
    std::set<std::pair<std::uint64_t, std::uint64_t>> cached{};
    double mean_uncached_fraction = 0.5;

    double uncached_fraction(const upstream_candidate& it, const request_features& request) const
    {
        const auto& hashes = request.prefix_hashes;
        for (std::size_t n = hashes.size(); n > 0; --n) {
            if (this->cached.contains({it.id, hashes[n - 1]})) {
                return 1 - static_cast<double>(n) / static_cast<double>(hashes.size());
            }
        }
        return 1;
    }

    double score(const upstream_candidate& it, const request_features& request) const
    {
        const double load = it.reported_load + it.unreported_dispatches;
        return (it.reported_queued + it.unreported_dispatches) * this->mean_uncached_fraction +
               this->uncached_fraction(it, request) + load / it.limit;
    }
};

} // namespace

// Guards against choosing an upstream that is full or clearly worse than the best one.
Test(upstream_selector, agrees_with_the_reference_implementation)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        upstream_selector selector(seed, {.prefixes = {.event_lag = 0s}, .affinity_bonus = 0});
        reference_selector reference;
        for (int i = 0; i < 200; ++i) {
            std::vector<upstream_candidate> candidates;
            for (std::uint64_t id = 1; id <= 6; ++id) {
                candidates.push_back({.id = id,
                                      .available = random() % 5 != 0,
                                      .reported_load = static_cast<unsigned>(random() % 8),
                                      .reported_queued = static_cast<unsigned>(random() % 3),
                                      .unreported_dispatches = static_cast<unsigned>(random() % 3),
                                      .limit = 8});
            }
            request_features request;
            for (std::uint64_t n = 0; n < random() % 4; ++n) {
                request.prefix_hashes.push_back(10 * n + random() % 3);
            }
            const auto forgotten = std::pair(1 + random() % 6, random() % 3);
            selector.discard_prefix(forgotten.first, forgotten.second);
            reference.cached.erase(forgotten);
            double best = 1e9;
            for (const auto& it : candidates) {
                if (it.available && it.reported_load + it.unreported_dispatches < it.limit) {
                    best = std::min(best, reference.score(it, request));
                }
            }
            const auto chosen = choose(selector, candidates, request, time_point{1s});
            cr_assert((chosen == none) == (best == 1e9), "seed %lu", seed);
            if (chosen == none) {
                continue;
            }
            const auto& it = candidates[chosen];
            cr_assert(it.available && it.reported_load + it.unreported_dispatches < it.limit);
            cr_assert(reference.score(it, request) <= best + 0.2 + 1e-9, "seed %lu step %d", seed,
                      i);
            reference.mean_uncached_fraction += 0.05 * (reference.uncached_fraction(it, request) -
                                                        reference.mean_uncached_fraction);
            for (const auto hash : request.prefix_hashes) {
                reference.cached.emplace(it.id, hash);
            }
        }
    }
}

// Guards against entries that send turns of one conversation to different upstreams, each of which
// prefills the same prompt.
Test(upstream_selector, entries_prefer_the_same_upstream_for_a_conversation)
{
    std::vector<upstream_candidate> candidates;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        candidates.push_back({.id = id * 77, .limit = 20});
    }
    std::set<std::size_t> preferred;
    for (std::uint64_t conversation = 100; conversation < 140; ++conversation) {
        std::set<std::size_t> chosen;
        for (std::uint64_t seed = 0; seed < 5; ++seed) {
            upstream_selector selector(seed);
            const request_features request{.prefix_hashes = {1, conversation, 500 + seed}};
            chosen.insert(choose(selector, candidates, request));
        }
        cr_assert(chosen.size() == 1);
        preferred.insert(*chosen.begin());
    }
    cr_assert(preferred.size() == 8, "only %zu upstreams are preferred", preferred.size());
}
