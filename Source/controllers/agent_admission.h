#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "policy/work_queue.h"

namespace medlaryoke::controllers {

struct agent_admission_options {
    unsigned initial_limit = 16; ///< slots when the agent starts
    unsigned max_limit = 256;    ///< upper bound of the slots
    /// Maximum number of requests that wait at the agent. Entries dispatch only if they know of a
    /// free slot, so requests wait only if several entries use the same slot at once. A short queue
    /// leaves the choice of the next request to the entries.
    std::size_t max_queued_requests = 2;
};

/// Result of agent_admission::start_or_queue.
struct admission_result {
    bool start_now = false; ///< the new request got a slot
    /// Ids of requests that the full queue rejected; may include the new request.
    std::vector<std::uint64_t> refused;
};

/// How the call that held a slot ended.
enum class slot_outcome {
    answered,   ///< the upstream sent a complete answer
    overloaded, ///< the upstream has too many requests and did not run this one
    failed,     ///< the upstream failed or could not be reached
    abandoned,  ///< the agent or the entry ended the call; the limit does not change
};

/// Limits the concurrent requests at the upstream of an agent and queues a few further ones. Each
/// running request holds a slot. Not thread safe.
class agent_admission {
public:
    explicit agent_admission(const agent_admission_options& options);
    agent_admission(const agent_admission&) = delete;
    agent_admission& operator=(const agent_admission&) = delete;
    agent_admission(agent_admission&&) = delete;
    agent_admission& operator=(agent_admission&&) = delete;
    ~agent_admission();

    /// Gives a new request a slot, or queues it if none is free or other requests wait.
    /// @param item the request
    /// @param now the current time
    /// @return whether to start the request, and the requests to refuse
    admission_result start_or_queue(policy::work_item item, time_point now);

    /// Gives a free slot to the next request in the order of the queue.
    /// @param now the current time
    /// @return id of the request; empty if the queue is empty or no slot is free
    std::optional<std::uint64_t> start_next(time_point now);

    /// Frees the slot of a request and adapts the limit.
    /// @param latency time to the first byte of the answer; empty if there was none
    /// @param outcome how the call ended
    void release(std::optional<duration> latency, slot_outcome outcome);

    /// Removes a request from the queue.
    /// @param id the request
    /// @return whether it was in the queue
    bool remove(std::uint64_t id);

    /// Removes the requests whose deadline has passed from the queue.
    /// @param now the current time
    /// @return ids of the removed requests
    std::vector<std::uint64_t> remove_expired(time_point now);

    /// Replaces the rules by which the queue is ordered.
    /// @param priorities rules of the current configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    /// @return number of slots in use
    [[nodiscard]] unsigned running() const;

    /// @return number of requests in the queue
    [[nodiscard]] std::size_t queued() const;

    /// @return current number of slots
    [[nodiscard]] unsigned limit() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
