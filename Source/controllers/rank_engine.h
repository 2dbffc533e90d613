#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "model/wire.pb.h"
#include "policy/rank_gate.h"

namespace medlaryoke::controllers {

/// State that the engine of a rank reports.
struct rank_engine_state {
    policy::rank_status status; ///< its incarnation is that of the engine process
    /// Token counts by layer and slot since the engine started.
    std::vector<std::vector<std::uint64_t>> tokens;
    bool accepted = true; ///< whether the engine accepted the command that it answers
};

/// Interface to the engine of one rank of a lock-step group. The engine enforces holds: it does not
/// start the held step, and starts no step without an active map.
class rank_engine {
public:
    using done_function = std::function<void(const std::optional<rank_engine_state>&)>;

    rank_engine() = default;
    rank_engine(const rank_engine&) = delete;
    rank_engine& operator=(const rank_engine&) = delete;
    rank_engine(rank_engine&&) = delete;
    rank_engine& operator=(rank_engine&&) = delete;
    virtual ~rank_engine() = default;

    /// Reads the state of the engine.
    /// @param done called once with the state; empty if the engine does not answer
    virtual void read(done_function done) = 0;

    /// Sends the engine a command that the gate of the rank has accepted.
    /// @param command prepare, hold, activate or abort
    /// @param map content of the map for a prepare command; empty for other commands
    /// @param done called once with the state after the command; empty if the engine does not
    /// answer
    virtual void execute(const policy::map_command& command, const wire::expert_map& map,
                         done_function done) = 0;
};

} // namespace medlaryoke::controllers
