#include "experts/group_coordination.h"

#include <algorithm>
#include <utility>

namespace medlaryoke::experts {

namespace {

// A coordinator that was fenced, or got no token, tries again after this time, so that two that
// cannot see each other do not take over from each other all the time.
constexpr auto retry_pause = std::chrono::seconds(2);

// A round trip between data centres and a timer that fires late.
constexpr auto report_lag_margin = std::chrono::milliseconds(100);

struct known_group {
    policy::group_shape shape;
    std::vector<rank_address> ranks;
    duration report_lag{};
};

/// @return groups of which every rank is in the list
std::map<std::string, known_group> whole_groups(const std::vector<model::upstream_entry>& upstreams,
                                                const model::route_config& config)
{
    std::map<std::string, known_group> groups;
    for (const auto& entry : upstreams) {
        const auto service = config.services.find(entry.service);
        if (!entry.group || service == config.services.end() || !service->second.experts ||
            entry.group->rank >= entry.group->size) {
            continue;
        }
        const auto& layout = *service->second.experts;
        auto& group = groups[entry.group->group];
        group.shape = {entry.group->size, layout.sets,  layout.experts,
                       layout.placements, layout.spare, layout.copy_time};
        group.report_lag = layout.report_lag + report_lag_margin;
        group.ranks.resize(entry.group->size);
        group.ranks[entry.group->rank] = {entry.address, entry.agent_address};
    }
    std::erase_if(groups, [](const auto& it) {
        return std::ranges::any_of(it.second.ranks,
                                   [](const auto& rank) { return rank.engine.empty(); });
    });
    return groups;
}

} // namespace

group_coordination::group_coordination(transport::runtime& context, const clock_source& clock,
                                       token_source take_token,
                                       group_balancer::engine_factory open_engine)
    : context_(context), clock_(clock), take_token_(std::move(take_token)),
      open_engine_(std::move(open_engine))
{
}

void group_coordination::update(const std::vector<model::upstream_entry>& upstreams,
                                const model::route_config& config)
{
    const auto known = whole_groups(upstreams, config);
    for (auto& [name, group] : this->groups_) {
        const auto found = known.find(name);
        // A group with a rank missing keeps its balancer: the rank may only have lapsed.
        if (found != known.end() &&
            (found->second.ranks != group.ranks || found->second.shape != group.shape)) {
            if (group.balancer) {
                this->ended_switches_ += group.balancer->switches();
            }
            end(group);
        }
    }
    for (const auto& [name, group] : known) {
        auto& it = this->groups_[name];
        it.shape = group.shape;
        it.ranks = group.ranks;
        it.report_lag = group.report_lag;
    }
}

void group_coordination::lead(bool leads, time_point now)
{
    this->leads_ = leads;
    for (auto& [name, group] : this->groups_) {
        if (group.balancer && group.balancer->is_fenced()) {
            this->ended_switches_ += group.balancer->switches();
            end(group);
            group.next_try = now + retry_pause;
        }
        if (!leads && group.balancer) {
            this->log_.note(log_level::info, "no longer coordinating", {{"group", name}});
            this->ended_switches_ += group.balancer->switches();
            end(group);
        }
        else if (leads && !group.balancer && !group.asking && now >= group.next_try) {
            this->begin(name, group, now);
        }
    }
}

std::uint64_t group_coordination::switches() const
{
    auto sum = this->ended_switches_;
    for (const auto& [name, group] : this->groups_) {
        sum += group.balancer ? group.balancer->switches() : 0;
    }
    return sum;
}

void group_coordination::begin(const std::string& name, group_state& group, time_point now)
{
    group.asking = true;
    group.next_try = now + retry_pause;
    this->take_token_(name, [this, name](std::optional<std::uint64_t> token) {
        auto& it = this->groups_[name];
        it.asking = false;
        if (!token || !this->leads_) {
            return;
        }
        it.balancer = std::make_shared<group_balancer>(this->context_, this->clock_, name, it.shape,
                                                       it.ranks, this->open_engine_, it.report_lag);
        it.balancer->start(*token);
    });
}

void group_coordination::end(group_state& group)
{
    if (group.balancer) {
        group.balancer->stop();
        group.balancer.reset();
    }
}

} // namespace medlaryoke::experts
