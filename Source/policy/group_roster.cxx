#include "policy/group_roster.h"

#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

#include <fmt/format.h>

namespace medlaryoke::policy {

namespace {

using entry_pointer = const model::upstream_entry*;

/// The entries of one group while its ranks are assigned.
struct candidate_group {
    // Only the listed ranks: another writer's entry may state any size.
    std::map<unsigned, entry_pointer> ranks;
    entry_pointer first = nullptr; ///< the others must agree with it on size and service
};

/// Assigns entries to the ranks of their groups.
class roster_builder {
public:
    /// Records which upstream is at an address.
    void add_address(const model::upstream_entry& entry)
    {
        auto& current = this->by_address_[entry.address];
        if (current == nullptr || current->started_at < entry.started_at) {
            current = &entry;
        }
    }

    /// Assigns an entry to its rank. All addresses must have been added.
    void add_rank(const model::upstream_entry& entry)
    {
        const auto* at_address = this->by_address_.at(entry.address);
        if (at_address != &entry) {
            if (at_address->started_at == entry.started_at) {
                this->add_conflict(entry, *at_address, "have the same address");
            }
            return; // an engine that started later is at the address
        }
        auto& group = this->groups_[entry.group->group];
        if (group.first == nullptr) {
            group.first = &entry;
        }
        else if (group.first->group->size != entry.group->size ||
                 group.first->service != entry.service) {
            this->add_conflict(entry, *group.first, "state different sizes or services");
            return;
        }
        auto& current = group.ranks[entry.group->rank];
        if (current != nullptr && current->started_at == entry.started_at) {
            this->add_conflict(entry, *current, fmt::format("are rank {}", entry.group->rank));
        }
        else if (current == nullptr || current->started_at < entry.started_at) {
            current = &entry;
        }
    }

    [[nodiscard]] group_rosters finish()
    {
        for (const auto& [name, group] : this->groups_) {
            const bool is_complete =
                group.first != nullptr && group.ranks.size() == group.first->group->size;
            if (!is_complete || this->conflicting_groups_.contains(name)) {
                continue;
            }
            auto& roster = this->result_.complete[name];
            roster.service = group.first->service;
            for (const auto& [rank, entry] : group.ranks) {
                roster.ranks.push_back(*entry);
            }
        }
        return std::move(this->result_);
    }

private:
    void add_conflict(const model::upstream_entry& one, const model::upstream_entry& other,
                      std::string_view problem)
    {
        this->result_.conflicts.push_back({one.group->group, fmt::format("both {}", problem),
                                           fmt::format("{} {}", other.id, one.id)});
        this->conflicting_groups_.insert(one.group->group);
        if (other.group) {
            this->conflicting_groups_.insert(other.group->group);
        }
    }

    std::unordered_map<std::string_view, entry_pointer> by_address_;
    std::map<std::string, candidate_group> groups_;
    std::set<std::string> conflicting_groups_;
    group_rosters result_;
};

} // namespace

group_rosters find_rosters(const std::vector<model::upstream_entry>& upstreams)
{
    roster_builder builder;
    for (const auto& entry : upstreams) {
        builder.add_address(entry);
    }
    for (const auto& entry : upstreams) {
        if (entry.group && entry.group->rank < entry.group->size) {
            builder.add_rank(entry);
        }
    }
    return builder.finish();
}

std::vector<model::upstream_entry>
without_unusable_entries(std::vector<model::upstream_entry> upstreams,
                         const model::route_config& config)
{
    std::erase_if(upstreams, [&config](const model::upstream_entry& entry) {
        const auto service = config.services.find(entry.service);
        return !entry.group && service != config.services.end() && service->second.experts;
    });
    return upstreams;
}

} // namespace medlaryoke::policy
