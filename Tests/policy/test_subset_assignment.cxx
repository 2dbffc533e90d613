#include "policy/subset_assignment.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "base/digest.h"

using medlaryoke::policy::subset_assignment;
using medlaryoke::policy::subset_member;
using medlaryoke::policy::subset_options;

namespace {

std::vector<subset_member> make_members(const std::string& prefix, int n, int centres)
{
    std::vector<subset_member> members;
    members.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        members.push_back({fmt::format("{}{}", prefix, i), fmt::format("dc{}", i % centres)});
    }
    return members;
}

/// Reference implementation. Both sides rank a pair by the same hash, so the stable assignment
/// consists of the pairs in the order of their hash for which both sides have capacity left.
std::set<std::pair<std::string, std::string>>
reference_pairs(const std::vector<subset_member>& entries,
                const std::vector<subset_member>& upstreams, std::size_t size, double slack)
{
    std::vector<std::tuple<std::uint64_t, std::string, std::string>> all;
    for (const auto& e : entries) {
        for (const auto& u : upstreams) {
            all.emplace_back(medlaryoke::hash64(u.name, medlaryoke::hash64(e.name)), e.name,
                             u.name);
        }
    }
    std::ranges::sort(all);
    const auto wanted = std::min(size, upstreams.size());
    const auto capacity =
        static_cast<std::size_t>(std::ceil(static_cast<double>(wanted * entries.size()) /
                                           static_cast<double>(upstreams.size()) * (1 + slack)));
    std::map<std::string, std::size_t> held;
    std::set<std::pair<std::string, std::string>> pairs;
    for (const auto& [rank, e, u] : all) {
        if (held[e] < wanted && held[u] < capacity) {
            ++held[e];
            ++held[u];
            pairs.emplace(e, u);
        }
    }
    return pairs;
}

} // namespace

// Guards against an assignment that is unstable or depends on the order of the input.
Test(subset_assignment, agrees_with_the_reference_implementation)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 100; ++i) {
        auto entries = make_members("entry", 1 + static_cast<int>(random() % 30), 1);
        auto upstreams = make_members("up", 1 + static_cast<int>(random() % 30), 1);
        const subset_options options{.subset_size = static_cast<unsigned>(1 + random() % 12),
                                     .slack = static_cast<double>(random() % 3) * 0.1};
        const auto pairs = reference_pairs(entries, upstreams, options.subset_size, options.slack);
        std::ranges::shuffle(entries, random);
        std::ranges::shuffle(upstreams, random);
        const subset_assignment assignment(entries, upstreams, options);
        std::set<std::pair<std::string, std::string>> found;
        for (const auto& e : entries) {
            for (const auto& u : assignment.upstreams_of(e.name)) {
                found.emplace(e.name, u);
            }
        }
        cr_assert(found == pairs, "round %d", i);
    }
}

// Guards against an entry without upstreams because its data centre has none, and against unneeded
// connections to other data centres.
Test(subset_assignment, prefers_the_own_data_centre)
{
    auto entries = make_members("entry", 8, 4);
    const subset_assignment assignment(entries, make_members("up", 30, 3), {.subset_size = 4});
    for (const auto& e : entries) {
        const auto& subset = assignment.upstreams_of(e.name);
        cr_assert(!subset.empty());
        for (const auto& u : subset) {
            const auto centre = fmt::format("dc{}", std::stoi(u.substr(2)) % 3);
            cr_assert(centre == e.data_centre || e.data_centre == "dc3", "%s to %s", e.name.c_str(),
                      u.c_str());
        }
    }
    cr_assert(assignment.upstreams_of("unknown").empty());
}

// Guards against heartbeats that exceed the budget as models are added.
Test(subset_assignment, size_stays_within_the_heartbeat_budget)
{
    using medlaryoke::policy::affordable_subset_size;
    cr_assert(affordable_subset_size(24, 1, {.bytes_per_heartbeat = 39}) == 24);
    cr_assert(affordable_subset_size(24, 8, {.bytes_per_heartbeat = 39}) == 3);
    cr_assert(affordable_subset_size(24, 100, {.bytes_per_heartbeat = 39}) == 2);
    for (std::size_t models = 1; models <= 11; ++models) { // with more, the minimum size exceeds it
        const auto links = models * affordable_subset_size(24, models, {}) + 8;
        cr_assert(static_cast<double>(links) * 2 * 40 / 0.5 <= 5'000, "%zu models", models);
    }
}
