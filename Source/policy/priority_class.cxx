#include "policy/priority_class.h"

#include <algorithm>
#include <limits>

namespace medlaryoke::policy {

namespace {

double backlog_of(const organisation_queue& queue)
{
    return queue.queued_cost / queue.share;
}

/// Virtual time from which an idle organisation need not be remembered.
double end_of_debt(const priority_class& group, const organisation_queue& queue)
{
    return queue.start_tag + group.burst;
}

} // namespace

double earliest_start(const priority_class& group, const organisation_queue& queue)
{
    return std::max(queue.start_tag, group.virtual_time - group.burst);
}

void unlink_organisation(priority_class& group, organisation_queue& queue)
{
    if (queue.empty()) {
        group.idle.erase({end_of_debt(group, queue), &queue});
        return;
    }
    if (!queue.fresh.empty()) {
        group.fresh_by_start.erase({queue.start_tag, &queue});
        group.fresh_shares -= queue.share;
    }
    group.late_by_start.erase({queue.start_tag, &queue});
    group.by_backlog.erase({backlog_of(queue), &queue});
    group.queued_cost -= queue.queued_cost;
    group.fresh_cost -= queue.fresh_cost;
}

void link_organisation(priority_class& group, organisation_queue& queue)
{
    if (queue.empty()) {
        queue.queued_cost = 0;
        queue.fresh_cost = 0;
        group.idle.insert({end_of_debt(group, queue), &queue});
        return;
    }
    if (!queue.fresh.empty()) {
        group.fresh_by_start.insert({queue.start_tag, &queue});
        group.fresh_shares += queue.share;
    }
    if (!queue.late.empty()) {
        group.late_by_start.insert({queue.start_tag, &queue});
    }
    group.by_backlog.insert({backlog_of(queue), &queue});
    group.queued_cost += queue.queued_cost;
    group.fresh_cost += queue.fresh_cost;
}

organisation_queue& find_or_add(priority_class& group, const std::string& name)
{
    const auto [it, added] = group.organisations.try_emplace(name);
    auto& queue = it->second;
    if (added) {
        queue.name = name;
        // Before any time at which it could start.
        queue.start_tag = std::numeric_limits<double>::lowest();
        link_organisation(group, queue);
    }
    return queue;
}

void forget_idle(priority_class& group)
{
    while (!group.idle.empty() && group.idle.begin()->key <= group.virtual_time) {
        const auto it = group.organisations.find(group.idle.begin()->queue->name);
        group.idle.erase(group.idle.begin());
        group.organisations.erase(it);
    }
}

const work_item& choose_item(const priority_class& group, time_point now)
{
    if (group.fresh_by_start.empty()) {
        return group.late_by_start.begin()->queue->late.back().item;
    }
    const auto& items = group.fresh_by_start.begin()->queue->fresh;
    const auto target = group.rule.first_token_target;
    const bool overloaded = target > duration::zero() && now - items.front().arrived > target / 2;
    return overloaded ? items.back().item : items.front().item;
}

} // namespace medlaryoke::policy
