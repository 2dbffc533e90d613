#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "policy/work_queue.h"

namespace medlaryoke::policy {

struct waiting_item {
    work_item item;
    time_point arrived;
    bool late = false;
};

struct organisation_queue {
    std::string name;
    std::list<waiting_item> fresh; ///< can still meet their target, oldest first
    std::list<waiting_item> late;  ///< missed their target, oldest first
    double start_tag = 0;          ///< virtual time at which the next item may start
    double queued_cost = 0;
    double fresh_cost = 0;
    double share = 1; ///< of the newest item

    [[nodiscard]] bool empty() const { return this->fresh.empty() && this->late.empty(); }
};

struct organisation_order {
    double key = 0;
    const organisation_queue* queue = nullptr;

    bool operator<(const organisation_order& other) const
    {
        return std::tie(this->key, this->queue->name) < std::tie(other.key, other.queue->name);
    }
};

/// Requests of one priority, shared between organisations by start-time fair queueing.
struct priority_class {
    priority_rule rule;
    std::map<std::string, organisation_queue> organisations;
    std::set<organisation_order> fresh_by_start; ///< with fresh requests, by start tag
    std::set<organisation_order> late_by_start;  ///< with late requests, by start tag
    std::set<organisation_order> by_backlog; ///< with waiting requests, by queued cost over share
    std::set<organisation_order> idle;       ///< without waiting requests, by end_of_debt()
    double virtual_time = 0;
    double burst = 0; ///< see work_queue_options
    double queued_cost = 0;
    double fresh_cost = 0;
    double fresh_shares = 0; ///< of the organisations with fresh requests
    double floor_credit = 0; ///< cost owed to the floor; negative after an item that exceeded it
    std::size_t size = 0;
    /// Fresh requests by arrival; those that were removed are skipped.
    std::deque<std::pair<time_point, std::uint64_t>> becoming_late;
};

/// @param group a priority
/// @param queue one of its organisations, without waiting requests
/// @return earliest virtual time at which it may start
double earliest_start(const priority_class& group, const organisation_queue& queue);

/// Takes an organisation out of the indexes of its priority; goes before any change of it.
/// @param group the priority
/// @param queue the organisation
void unlink_organisation(priority_class& group, organisation_queue& queue);

/// Puts an organisation back into the indexes; goes after any change of it.
/// @param group the priority
/// @param queue the organisation
void link_organisation(priority_class& group, organisation_queue& queue);

/// @param group a priority
/// @param name name of an organisation
/// @return its queue, added if there was none
organisation_queue& find_or_add(priority_class& group, const std::string& name);

/// Forgets idle organisations that owe nothing; they would start at the same time anyway.
/// @param group the priority
void forget_idle(priority_class& group);

/// Chooses the request that a priority serves next. Late requests are served only when no
/// organisation has a fresh one, newest first. Among fresh ones the oldest is taken, or the newest
/// once the oldest has used half of its target: under lasting overload the oldest would always be
/// answered just too late.
/// @param group a priority with waiting requests
/// @param now the current time
/// @return the request
const work_item& choose_item(const priority_class& group, time_point now);

} // namespace medlaryoke::policy
