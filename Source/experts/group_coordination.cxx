#include "experts/group_coordination.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "policy/group_roster.h"

namespace medlaryoke::experts {

namespace {

// Delay before the next attempt after being fenced or getting no token. It keeps two coordinators
// that cannot reach each other from taking over from each other continuously.
constexpr auto retry_delay = std::chrono::seconds(2);

// Allows for a round trip between data centres and a timer that fires late.
constexpr auto report_lag_margin = std::chrono::milliseconds(100);

struct group_description {
    policy::group_shape shape;
    std::vector<rank_address> ranks;
    duration report_lag{};
};

/// @param log receives the groups that are left out for their size
/// @return the groups in which the engine of each rank is known, by name
std::map<std::string, group_description>
describe_groups(const std::map<std::string, policy::group_roster>& rosters,
                const model::route_config& config, const event_log& log)
{
    std::map<std::string, group_description> groups;
    for (const auto& [name, roster] : rosters) {
        const auto service = config.services.find(roster.service);
        if (service == config.services.end() || !service->second.experts) {
            continue;
        }
        const auto& layout = *service->second.experts;
        const policy::group_shape shape{static_cast<unsigned>(roster.ranks.size()),
                                        layout.sets,
                                        layout.experts,
                                        layout.placements,
                                        layout.spare,
                                        layout.copy_time};
        if (!policy::can_be_kept(shape)) {
            log.sample(log_level::warning, "group is too large to be coordinated",
                       {{"group", name},
                        {"ranks", static_cast<std::int64_t>(shape.ranks)},
                        {"sets", static_cast<std::int64_t>(shape.sets)},
                        {"experts", static_cast<std::int64_t>(shape.experts)}});
            continue;
        }
        auto& group = groups[name];
        group.shape = shape;
        group.report_lag = layout.report_lag + report_lag_margin;
        std::ranges::transform(roster.ranks, std::back_inserter(group.ranks),
                               [](const model::upstream_entry& it) {
                                   return rank_address{it.address, it.agent_address};
                               });
    }
    return groups;
}

} // namespace

group_coordination::group_coordination(transport::runtime& context, const clock_source& clock,
                                       fencing_token_source request_token,
                                       group_balancer::engine_factory open_engine)
    : context_(context), clock_(clock), request_token_(std::move(request_token)),
      open_engine_(std::move(open_engine))
{
}

void group_coordination::update(const std::vector<model::upstream_entry>& upstreams,
                                const model::route_config& config)
{
    const auto rosters = policy::find_rosters(upstreams);
    for (const auto& conflict : rosters.conflicts) {
        this->log_.sample(log_level::warning, "entries of a group contradict each other",
                          {{"group", conflict.group},
                           {"upstreams", conflict.upstreams},
                           {"problem", conflict.problem}});
    }
    const auto known = describe_groups(rosters.complete, config, this->log_);
    for (auto& [name, group] : this->groups_) {
        const auto found = known.find(name);
        // A group with a missing or disputed rank keeps its balancer: perhaps only the rank's lease
        // has expired, or another writer added the entry that disputes it.
        if (found != known.end() &&
            (found->second.ranks != group.ranks || found->second.shape != group.shape)) {
            this->end(group);
        }
    }
    for (const auto& [name, group] : known) {
        auto& it = this->groups_[name];
        it.shape = group.shape;
        it.ranks = group.ranks;
        it.report_lag = group.report_lag;
    }
}

void group_coordination::set_leader(bool is_leader, time_point now)
{
    this->is_leader_ = is_leader;
    for (auto& [name, group] : this->groups_) {
        if (group.balancer && group.balancer->is_fenced()) {
            this->end(group);
            group.next_attempt = now + retry_delay;
        }
        if (!is_leader && group.balancer) {
            this->log_.note(log_level::info, "no longer coordinating", {{"group", name}});
            this->end(group);
        }
        else if (is_leader && !group.balancer && !group.token_requested &&
                 now >= group.next_attempt) {
            this->begin(name, group, now);
        }
    }
}

std::uint64_t group_coordination::switches() const
{
    auto sum = this->past_switches_;
    for (const auto& [name, group] : this->groups_) {
        sum += group.balancer ? group.balancer->switches() : 0;
    }
    return sum;
}

void group_coordination::begin(const std::string& name, group_state& group, time_point now)
{
    group.token_requested = true;
    group.next_attempt = now + retry_delay;
    this->request_token_(name, [this, name](std::optional<std::uint64_t> token) {
        auto& it = this->groups_[name];
        it.token_requested = false;
        if (!token || !this->is_leader_) {
            return;
        }
        it.balancer =
            std::make_shared<group_balancer>(this->context_, this->clock_, name, it.shape, it.ranks,
                                             this->open_engine_, it.report_lag, this->options_);
        it.balancer->start(*token);
    });
}

std::uint64_t group_coordination::long_holds() const
{
    auto sum = this->past_long_holds_;
    for (const auto& [name, group] : this->groups_) {
        sum += group.balancer ? group.balancer->long_holds() : 0;
    }
    return sum;
}

void group_coordination::end(group_state& group)
{
    if (group.balancer) {
        this->past_switches_ += group.balancer->switches();
        this->past_long_holds_ += group.balancer->long_holds();
        group.balancer->stop();
        group.balancer.reset();
    }
}

} // namespace medlaryoke::experts
