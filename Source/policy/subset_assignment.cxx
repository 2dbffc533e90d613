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

struct proposal {
    std::uint64_t rank = 0; ///< the smaller, the better for both sides
    std::size_t entry = 0;
    std::size_t upstream = 0;

    bool operator<(const proposal& other) const
    {
        return std::tie(this->rank, this->entry, this->upstream) <
               std::tie(other.rank, other.entry, other.upstream);
    }
};

/// Preferences of one entry in order, and how far it has proposed.
struct proposer {
    std::vector<proposal> preferences;
    std::size_t next = 0;
    std::size_t accepted = 0;
};

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

unsigned affordable_subset_size(unsigned most, std::size_t models, const control_budget& budget)
{
    const auto interval = std::chrono::duration<double>(budget.heartbeat_interval).count();
    const auto links = budget.bytes_per_second * interval / (2 * budget.bytes_per_heartbeat) -
                       static_cast<double>(budget.other_links);
    const auto size = links / static_cast<double>(std::max<std::size_t>(models, 1));
    constexpr double least = 2;
    return static_cast<unsigned>(std::clamp(size, std::min<double>(least, most), double(most)));
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
        const auto here = sorted_names(entries, &centre, true);
        const auto own = sorted_names(upstreams, &centre, true);
        this->assign(here, own, options.subset_size, options.slack);
        const auto least = std::min(options.min_subset_size, options.subset_size);
        if (own.size() < least) {
            const auto others = sorted_names(upstreams, &centre, false);
            this->assign(here, others, least - static_cast<unsigned>(own.size()), options.slack);
        }
    }
    for (auto& [name, subset] : this->subsets_) {
        std::ranges::sort(subset);
    }
}

const std::vector<std::string>& subset_assignment::upstreams_of(const std::string& entry) const
{
    static const std::vector<std::string> none;
    const auto it = this->subsets_.find(entry);
    return it == this->subsets_.end() ? none : it->second;
}

void subset_assignment::assign(const std::vector<std::string>& entries,
                               const std::vector<std::string>& upstreams, unsigned size,
                               double slack)
{
    if (upstreams.empty() || size == 0) {
        return;
    }
    const auto wanted = std::min<std::size_t>(size, upstreams.size());
    const auto even =
        static_cast<double>(wanted * entries.size()) / static_cast<double>(upstreams.size());
    const auto capacity = static_cast<std::size_t>(std::ceil(even * (1 + slack)));
    std::vector<proposer> proposers(entries.size());
    for (std::size_t e = 0; e < entries.size(); ++e) {
        const auto seed = hash64(entries[e]);
        for (std::size_t u = 0; u < upstreams.size(); ++u) {
            proposers[e].preferences.push_back({hash64(upstreams[u], seed), e, u});
        }
        std::ranges::sort(proposers[e].preferences, std::less<>{});
    }
    std::vector<std::set<proposal>> kept(upstreams.size());
    std::vector<std::size_t> open(entries.size());
    for (std::size_t e = 0; e < open.size(); ++e) {
        open[e] = e;
    }
    while (!open.empty()) {
        auto& it = proposers[open.back()];
        if (it.accepted == wanted || it.next == it.preferences.size()) {
            open.pop_back();
            continue;
        }
        const auto& offer = it.preferences[it.next++];
        auto& held = kept[offer.upstream];
        held.insert(offer);
        ++it.accepted;
        if (held.size() > capacity) {
            const auto worst = std::prev(held.end());
            --proposers[worst->entry].accepted;
            open.push_back(worst->entry);
            held.erase(worst);
        }
    }
    for (const auto& held : kept) {
        for (const auto& it : held) {
            this->subsets_[entries[it.entry]].push_back(upstreams[it.upstream]);
        }
    }
}

} // namespace medlaryoke::policy
