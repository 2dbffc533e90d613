#include "policy/priority_class.h"

#include <algorithm>
#include <limits>

namespace medlaryoke::policy {

namespace {

double backlog_of(const organisation_queue& queue)
{
    return queue.queued_cost / queue.share;
}

/// @return virtual time from which the past service of an idle organisation has no effect
double settled_at(const priority_class& cls, const organisation_queue& queue)
{
    return queue.start_tag + cls.burst;
}

} // namespace

double earliest_start(const priority_class& cls, const organisation_queue& queue)
{
    return std::max(queue.start_tag, cls.virtual_time - cls.burst);
}

void remove_from_indexes(priority_class& cls, organisation_queue& queue)
{
    if (queue.empty()) {
        cls.idle.erase({settled_at(cls, queue), &queue});
        return;
    }
    if (!queue.on_time.empty()) {
        cls.on_time_by_start.erase({queue.start_tag, &queue});
        cls.on_time_share_sum -= queue.share;
    }
    cls.late_by_start.erase({queue.start_tag, &queue});
    cls.by_backlog.erase({backlog_of(queue), &queue});
    cls.queued_cost -= queue.queued_cost;
    cls.on_time_cost -= queue.on_time_cost;
}

void add_to_indexes(priority_class& cls, organisation_queue& queue)
{
    if (queue.empty()) {
        queue.queued_cost = 0;
        queue.on_time_cost = 0;
        cls.idle.insert({settled_at(cls, queue), &queue});
        return;
    }
    if (!queue.on_time.empty()) {
        cls.on_time_by_start.insert({queue.start_tag, &queue});
        cls.on_time_share_sum += queue.share;
    }
    if (!queue.late.empty()) {
        cls.late_by_start.insert({queue.start_tag, &queue});
    }
    cls.by_backlog.insert({backlog_of(queue), &queue});
    cls.queued_cost += queue.queued_cost;
    cls.on_time_cost += queue.on_time_cost;
}

organisation_queue& find_or_add(priority_class& cls, const std::string& name)
{
    const auto [it, added] = cls.organisations.try_emplace(name);
    auto& queue = it->second;
    if (added) {
        queue.name = name;
        // The lowest value, so that only the virtual time decides when it may start.
        queue.start_tag = std::numeric_limits<double>::lowest();
        add_to_indexes(cls, queue);
    }
    return queue;
}

void remove_settled_organisations(priority_class& cls)
{
    while (!cls.idle.empty() && cls.idle.begin()->key <= cls.virtual_time) {
        const auto it = cls.organisations.find(cls.idle.begin()->queue->name);
        cls.idle.erase(cls.idle.begin());
        cls.organisations.erase(it);
    }
}

const work_item& select_next(const priority_class& cls, time_point now)
{
    if (cls.on_time_by_start.empty()) {
        return cls.late_by_start.begin()->queue->late.back().item;
    }
    const auto& items = cls.on_time_by_start.begin()->queue->on_time;
    const auto target = cls.rule.first_token_target;
    const bool overloaded = target > duration::zero() && now - items.front().arrived > target / 2;
    return overloaded ? items.back().item : items.front().item;
}

} // namespace medlaryoke::policy
