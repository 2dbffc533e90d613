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
    unsigned initial_limit = 16;
    unsigned max_limit = 256;
    /// Requests that wait at the agent. Entries dispatch into free slots, so it only absorbs the
    /// collisions of several entries; the entries keep the choice of what runs next.
    std::size_t max_queue = 2;
};

/// What came of an offer to run a request.
struct admission_result {
    bool start_now = false;             ///< a slot was taken for the new request
    std::vector<std::uint64_t> refused; ///< waiting requests that had to make room; may be the new
};

/// How the call that held a slot ended.
enum class slot_outcome {
    answered,   ///< the upstream answered
    overloaded, ///< the upstream has too many requests and did not run this one
    failed,     ///< the upstream failed or could not be reached
    abandoned,  ///< ended by the agent or the entry; says nothing about the upstream
};

/// Slots at the upstream of an agent and the short queue in front of them. Not thread safe.
class agent_admission {
public:
    explicit agent_admission(const agent_admission_options& options);
    agent_admission(const agent_admission&) = delete;
    agent_admission& operator=(const agent_admission&) = delete;
    agent_admission(agent_admission&&) = delete;
    agent_admission& operator=(agent_admission&&) = delete;
    ~agent_admission();

    /// Takes a slot for a request, or queues it.
    /// @param item the request
    /// @param now the current time
    /// @return what came of it
    admission_result offer(policy::work_item item, time_point now);

    /// Takes a slot for the request that waits and is to run next.
    /// @param now the current time
    /// @return its id, empty if none waits or no slot is free
    std::optional<std::uint64_t> next(time_point now);

    /// Frees a slot.
    /// @param latency time to the first byte of the answer; empty if there was none
    /// @param outcome how the call ended
    void release(std::optional<duration> latency, slot_outcome outcome);

    /// @param id a request that is no longer wanted
    /// @return whether it was waiting
    bool remove(std::uint64_t id);

    /// @param now the current time
    /// @return the waiting requests whose deadline has passed; they are removed
    std::vector<std::uint64_t> expire(time_point now);

    /// @param priorities rules of the current configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    [[nodiscard]] unsigned running() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] unsigned limit() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
