#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/slot_availability.h"

namespace medlaryoke::policy {

/// Properties of a waiting request that decide the order of service.
struct work_item {
    std::uint64_t id = 0;  ///< unique within the queue
    unsigned priority = 0; ///< priority_rule::order of its priority; 0 is the most urgent
    std::string organisation{};
    double share = 1;      ///< weight of the organisation in the fair queueing; positive
    double cost = 1;       ///< expected work, in tokens; positive
    time_point deadline{}; ///< after this the answer is of no use; the epoch means no deadline
};

/// Configuration of one priority.
struct priority_rule {
    unsigned order = 0; ///< position among the priorities; 0 is the most urgent
    /// Fraction of the served cost that is guaranteed while requests of the priority wait, 0 to 1.
    double floor = 0;
    double worth = 1;              ///< value of an answer on time, relative to other priorities
    duration first_token_target{}; ///< time to the first token; zero if there is no target
};

struct work_queue_options {
    std::vector<priority_rule> priorities;
    std::size_t max_items = 10'000; ///< waiting requests of all priorities
    /// Maximum cost per unit of share by which charge() can delay an organisation.
    double max_debt = 1'000'000;
    /// Cost per unit of share that an organisation may use ahead of the others after it was idle,
    /// so that bursts from an organisation within its share do not wait.
    double burst = 1'000;
};

/// Queue of waiting requests. More urgent priorities go first, but each priority is guaranteed a
/// fraction of the service, its floor. Within a priority, organisations get weighted max-min fair
/// shares. Not thread safe.
class work_queue {
public:
    explicit work_queue(work_queue_options options);
    work_queue(work_queue&&) noexcept;
    work_queue& operator=(work_queue&&) noexcept;
    work_queue(const work_queue&) = delete;
    work_queue& operator=(const work_queue&) = delete;
    ~work_queue();

    /// Adds a request. A full queue evicts a request of the least urgent priority that holds more
    /// than its floor, from the organisation with the largest backlog for its share. Requests that
    /// missed their first token target are evicted first.
    /// @param item the request
    /// @param now the current time
    /// @return the evicted requests; may contain the new one
    std::vector<work_item> push(work_item item, time_point now);

    /// Removes and returns the request to serve next. Within a priority, requests that can still
    /// meet the first token target come before those that missed it. Requests whose deadline has
    /// passed are never returned; they leave size() and are returned by the next expire().
    /// @param now the current time
    /// @param slots which slots are free. If only reserved ones are, just the most urgent priority
    /// and priorities below their floor are served, so that urgent requests need not wait for a
    /// slot.
    /// @return the request, empty if none may be served
    std::optional<work_item> pop(time_point now,
                                 slot_availability slots = slot_availability::ample);

    /// Removes the requests whose deadline has passed.
    /// @param now the current time
    /// @return the requests removed since the last call, including those found by push and pop
    std::vector<work_item> expire(time_point now);

    /// Removes one request, for example when its caller went away.
    /// @param id the request
    /// @return whether it was waiting
    bool remove(std::uint64_t id);

    /// Charges an organisation for work served by other entries, so that shares hold across
    /// entries.
    /// @param priority order of the priority
    /// @param organisation the organisation
    /// @param cost the served work, in tokens
    /// @param share weight of the organisation; 0 to use the weight of its last request here
    void charge(unsigned priority, const std::string& organisation, double cost, double share = 0);

    /// Replaces the priority rules. Waiting requests are kept, also those of removed priorities.
    /// @param priorities the new rules; floors that add up to more than 1 are scaled down
    void set_priorities(std::vector<priority_rule> priorities);

    /// Estimates the work of the same priority that is served before a new request. Requests that
    /// missed their first token target do not count, because they are served after it.
    /// @param priority order of the priority
    /// @param organisation the organisation of the request
    /// @param share weight of the organisation
    /// @return the work, in tokens
    [[nodiscard]] double cost_ahead(unsigned priority, const std::string& organisation,
                                    double share) const;

    /// @param priority order of a priority
    /// @return waiting work of more urgent priorities, in tokens
    [[nodiscard]] double more_urgent_cost(unsigned priority) const;

    /// @return number of waiting requests
    [[nodiscard]] std::size_t size() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::policy
