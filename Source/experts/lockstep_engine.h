#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "policy/rank_order.h"

namespace medlaryoke::experts {

/// The experts that one rank holds.
struct held_experts {
    std::uint64_t version = 0;               ///< version of the map
    std::vector<std::vector<unsigned>> sets; ///< experts by set
};

/// The engine of one rank of a lock-step group, whose ranks share experts. Callbacks run on a
/// worker thread of the runtime.
class lockstep_engine {
public:
    lockstep_engine() = default;
    lockstep_engine(const lockstep_engine&) = delete;
    lockstep_engine& operator=(const lockstep_engine&) = delete;
    lockstep_engine(lockstep_engine&&) = delete;
    lockstep_engine& operator=(lockstep_engine&&) = delete;
    virtual ~lockstep_engine() = default;

    /// Sends an order to the engine.
    /// @param order the order
    /// @param token fencing token; from now on the engine refuses orders with lower tokens
    /// @param epoch epoch of the group; the order has no effect in another epoch
    /// @param done called once with the result
    virtual void order(const policy::rank_order& order, std::uint64_t token, std::uint64_t epoch,
                       std::function<void(policy::order_result)> done) = 0;

    /// Reads the state of the rank. A report that is read from another instance may be a few
    /// hundred milliseconds old.
    /// @param done called once; empty if the engine does not answer
    virtual void report(std::function<void(const std::optional<policy::rank_report>&)> done) = 0;

    /// Reads how many tokens of this rank's requests were routed to each expert since the engine
    /// started.
    /// @param done called once with counts by set and expert; empty if the engine does not answer
    virtual void
    counts(std::function<void(const std::optional<std::vector<std::uint64_t>>&)> done) = 0;

    /// Reads which experts the rank holds.
    /// @param done called once; empty if the engine does not answer
    virtual void experts(std::function<void(const std::optional<held_experts>&)> done) = 0;
};

} // namespace medlaryoke::experts
