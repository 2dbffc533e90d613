#include "policy/subset_assignment.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <set>
#include <utility>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

/// Offer of an entry to connect to an upstream, given by their indexes.
struct proposal {
    std::uint64_t rank = 0; ///< hash of the pair; both sides prefer smaller values
    std::size_t entry = 0;
    std::size_t upstream = 0;

    bool operator<(const proposal& other) const
    {
        return std::tie(this->rank, this->entry, this->upstream) <
               std::tie(other.rank, other.entry, other.upstream);
    }
};

/// Progress of one entry through its preferences.
struct proposer {
    std::vector<proposal> preferences; ///< all upstreams, best first
    std::size_t next = 0;              ///< index of the next proposal
    std::size_t accepted = 0;          ///< proposals that upstreams hold now
};

/// @param members entries or upstreams
/// @param data_centre data centre to compare with; null for all members
/// @param inside whether to return members inside that data centre rather than outside of it
/// @return sorted names without duplicates
std::vector<std::string> sorted_names(const std::vector<subset_member>& members,
                                      const std::string* data_centre, bool inside)
{
    std::set<std::string> names;
    for (const auto& it : members) {
        if (data_centre == nullptr || (it.data_centre == *data_centre) == inside) {
            names.insert(it.name);
        }
    }
    return {names.begin(), names.end()};
}

} // namespace

unsigned affordable_subset_size(unsigned max_size, std::size_t models, const control_budget& budget)
{
    const auto interval = std::chrono::duration<double>(budget.heartbeat_interval).count();
    const auto affordable_links =
        budget.bytes_per_second * interval / (2 * budget.bytes_per_heartbeat) -
        static_cast<double>(budget.other_links);
    const auto size = affordable_links / static_cast<double>(std::max<std::size_t>(models, 1));
    constexpr double min_size = 2;
    return static_cast<unsigned>(
        std::clamp(size, std::min<double>(min_size, max_size), double(max_size)));
}

subset_assignment::subset_assignment(const std::vector<subset_member>& entries,
                                     const std::vector<subset_member>& upstreams,
                                     subset_options options)
{
    std::set<std::string> data_centres;
    for (const auto& it : entries) {
        data_centres.insert(it.data_centre);
        this->subsets_[it.name];
    }
    for (const auto& centre : data_centres) {
        const auto local_entries = sorted_names(entries, &centre, true);
        const auto local_upstreams = sorted_names(upstreams, &centre, true);
        this->assign(local_entries, local_upstreams, options.subset_size, options.slack);
        const auto min_size = std::min(options.min_subset_size, options.subset_size);
        if (local_upstreams.size() < min_size) {
            const auto remote_upstreams = sorted_names(upstreams, &centre, false);
            this->assign(local_entries, remote_upstreams,
                         min_size - static_cast<unsigned>(local_upstreams.size()), options.slack);
        }
    }
    for (auto& [name, subset] : this->subsets_) {
        std::ranges::sort(subset);
    }
}

const std::vector<std::string>& subset_assignment::upstreams_of(const std::string& entry) const
{
    static const std::vector<std::string> no_upstreams;
    const auto it = this->subsets_.find(entry);
    return it == this->subsets_.end() ? no_upstreams : it->second;
}

void subset_assignment::assign(const std::vector<std::string>& entries,
                               const std::vector<std::string>& upstreams, unsigned size,
                               double slack)
{
    if (upstreams.empty() || size == 0) {
        return;
    }
    const auto wanted = std::min<std::size_t>(size, upstreams.size());
    const auto even_share =
        static_cast<double>(wanted * entries.size()) / static_cast<double>(upstreams.size());
    const auto capacity = static_cast<std::size_t>(std::ceil(even_share * (1 + slack)));
    std::vector<proposer> proposers(entries.size());
    for (std::size_t e = 0; e < entries.size(); ++e) {
        const auto seed = hash64(entries[e]);
        for (std::size_t u = 0; u < upstreams.size(); ++u) {
            proposers[e].preferences.push_back({hash64(upstreams[u], seed), e, u});
        }
        std::ranges::sort(proposers[e].preferences, std::less<>{});
    }
    std::vector<std::set<proposal>> accepted_proposals(upstreams.size());
    std::vector<std::size_t> unmatched(entries.size());
    for (std::size_t e = 0; e < unmatched.size(); ++e) {
        unmatched[e] = e;
    }
    while (!unmatched.empty()) {
        auto& it = proposers[unmatched.back()];
        if (it.accepted == wanted || it.next == it.preferences.size()) {
            unmatched.pop_back();
            continue;
        }
        const auto& offer = it.preferences[it.next++];
        auto& held = accepted_proposals[offer.upstream];
        held.insert(offer);
        ++it.accepted;
        if (held.size() > capacity) {
            const auto worst = std::prev(held.end());
            --proposers[worst->entry].accepted;
            unmatched.push_back(worst->entry);
            held.erase(worst);
        }
    }
    for (const auto& held : accepted_proposals) {
        for (const auto& it : held) {
            this->subsets_[entries[it.entry]].push_back(upstreams[it.upstream]);
        }
    }
}

} // namespace medlaryoke::policy
