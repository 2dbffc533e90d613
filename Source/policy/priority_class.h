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

/// A waiting request and whether it can still meet its first token target.
struct waiting_item {
    work_item item;
    time_point arrived;
    bool late = false; ///< the first token target is out of reach
};

/// Waiting requests of one organisation within a priority.
struct organisation_queue {
    std::string name;                ///< of the organisation
    std::list<waiting_item> on_time; ///< can still meet their target, oldest first
    std::list<waiting_item> late;    ///< missed their target, oldest first
    double start_tag = 0;            ///< virtual time at which the next request may start
    double queued_cost = 0;          ///< tokens of all waiting requests
    double on_time_cost = 0;         ///< tokens of the waiting requests that are on time
    double share = 1;                ///< weight given with the newest request

    [[nodiscard]] bool empty() const { return this->on_time.empty() && this->late.empty(); }
};

/// Index entry that sorts organisations by a key, then by name.
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
    std::set<organisation_order> on_time_by_start; ///< with on-time requests, by start tag
    std::set<organisation_order> late_by_start;    ///< with late requests, by start tag
    std::set<organisation_order> by_backlog; ///< with waiting requests, by queued cost over share
    std::set<organisation_order> idle;       ///< without waiting requests, by settled_at()
    double virtual_time = 0;                 ///< largest start tag of a served request
    double burst = 0;                        ///< see work_queue_options::burst
    double queued_cost = 0;                  ///< tokens of all waiting requests
    double on_time_cost = 0;                 ///< tokens of the waiting requests that are on time
    double on_time_share_sum = 0;            ///< sum over organisations with on-time requests
    double floor_credit = 0; ///< tokens that the floor still guarantees; negative if exceeded
    std::size_t size = 0;    ///< waiting requests
    /// Arrival time and id of requests that were on time, oldest first. May contain requests that
    /// have left the queue.
    std::deque<std::pair<time_point, std::uint64_t>> arrivals;
};

/// @param cls a priority
/// @param queue one of its organisations, without waiting requests
/// @return earliest virtual time at which its next request may start
double earliest_start(const priority_class& cls, const organisation_queue& queue);

/// Removes an organisation from the indexes and sums of its priority. Must be called before any
/// change of the organisation.
/// @param cls the priority
/// @param queue the organisation
void remove_from_indexes(priority_class& cls, organisation_queue& queue);

/// Adds an organisation to the indexes and sums of its priority again. Must be called after any
/// change of the organisation.
/// @param cls the priority
/// @param queue the organisation
void add_to_indexes(priority_class& cls, organisation_queue& queue);

/// @param cls a priority
/// @param name name of an organisation
/// @return the queue of the organisation, which is added if it does not exist
organisation_queue& find_or_add(priority_class& cls, const std::string& name);

/// Removes idle organisations whose past service no longer delays them. An organisation that is
/// added again would start at the same virtual time.
/// @param cls the priority
void remove_settled_organisations(priority_class& cls);

/// Selects the request that a priority serves next. Late requests are served only if no request is
/// on time, newest first. Of the requests that are on time the oldest is served, or the newest once
/// the oldest has used half of its target: under lasting overload the oldest request would always
/// be answered just too late.
/// @param cls a priority with waiting requests
/// @param now the current time
/// @return the request
const work_item& select_next(const priority_class& cls, time_point now);

} // namespace medlaryoke::policy
