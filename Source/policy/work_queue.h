#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/room.h"

namespace medlaryoke::policy {

/// A waiting request as the queue sees it.
struct work_item {
    std::uint64_t id = 0;  ///< unique within the queue
    unsigned priority = 0; ///< order of the priority; 0 is the most urgent
    std::string organisation{};
    double share = 1;      ///< weight of the organisation; positive
    double cost = 1;       ///< expected work, in tokens; positive
    time_point deadline{}; ///< after this an answer is worthless; the epoch means none
};

struct priority_rule {
    unsigned order = 0;
    double floor = 0; ///< part of the served cost guaranteed while the priority has work, 0 to 1
    double worth = 1;
    duration first_token_target{};
};

struct work_queue_options {
    std::vector<priority_rule> priorities;
    std::size_t max_items = 10'000;
    /// Most cost per unit of share that charge() may put an organisation behind the others.
    double max_debt = 1'000'000;
    /// Cost per unit of share that an organisation may be served ahead of the others after it was
    /// idle, so that a caller within its share does not wait when its requests come in bursts.
    double burst = 1'000;
};

/// Queue of waiting requests: urgent first with floors for the other priorities, and weighted
/// max-min shares of the organisations within a priority. Not thread safe.
class work_queue {
public:
    explicit work_queue(work_queue_options options);
    work_queue(work_queue&&) noexcept;
    work_queue& operator=(work_queue&&) noexcept;
    work_queue(const work_queue&) = delete;
    work_queue& operator=(const work_queue&) = delete;
    ~work_queue();

    /// Adds a request. When the queue is full, an item of a less urgent priority, or of the
    /// organisation furthest above its share, makes room; first one that missed its target.
    /// @param item the request
    /// @param now the current time
    /// @return the items that were refused to stay within the limit; may contain the new item
    std::vector<work_item> push(work_item item, time_point now);

    /// Takes the request to serve next. Within a priority, requests that can still meet the first
    /// token target come before those that missed it. Never one whose deadline has passed; those
    /// leave size() and are returned by the next expire().
    /// @param now the current time
    /// @param left if scarce, only the most urgent priority and owed floors are served. A small
    /// reserve spares urgent work the wait for a slot while less urgent work fills all others.
    /// @return the request, empty if none may be served
    std::optional<work_item> pop(time_point now, room left = room::ample);

    /// Removes the requests whose deadline has passed.
    /// @param now the current time
    /// @return the requests removed since the last call, including those found by push and pop
    std::vector<work_item> expire(time_point now);

    /// Removes one request, for example when its caller went away.
    /// @param id the request
    /// @return whether it was waiting
    bool remove(std::uint64_t id);

    /// Adds work that an organisation was served elsewhere, so that shares hold across entries.
    /// @param priority order of the priority
    /// @param organisation the organisation
    /// @param cost the work, in tokens
    /// @param share weight of the organisation; 0 if it is that of its last request here
    void charge(unsigned priority, const std::string& organisation, double cost, double share = 0);

    /// Replaces the rules after a change of configuration; waiting requests stay.
    /// @param priorities the new rules
    void set_priorities(std::vector<priority_rule> priorities);

    /// Estimates the work that is served before a new request, for admission.
    /// @param priority order of the priority
    /// @param organisation the organisation of the request
    /// @param share weight of the organisation
    /// @return tokens of the same priority that can still meet their target, given the shares
    [[nodiscard]] double cost_ahead(unsigned priority, const std::string& organisation,
                                    double share) const;

    /// @param priority order of a priority
    /// @return tokens waiting in more urgent priorities
    [[nodiscard]] double more_urgent_cost(unsigned priority) const;

    /// @return number of waiting requests
    [[nodiscard]] std::size_t size() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::policy
