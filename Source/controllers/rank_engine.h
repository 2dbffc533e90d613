#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "model/wire.pb.h"
#include "policy/rank_gate.h"

namespace medlaryoke::controllers {

/// What the engine of a rank reports.
struct rank_engine_state {
    policy::rank_status status;                     ///< the incarnation is the engine's
    std::vector<std::vector<std::uint64_t>> tokens; ///< by layer and slot, since the engine started
    bool obeyed = true;                             ///< whether the order answered was obeyed
};

/// The engine of one rank of a lock-step group. It enforces holds: it starts no step that it was
/// told to hold, and no step without a map.
class rank_engine {
public:
    using done_function = std::function<void(const std::optional<rank_engine_state>&)>;

    rank_engine() = default;
    rank_engine(const rank_engine&) = delete;
    rank_engine& operator=(const rank_engine&) = delete;
    rank_engine(rank_engine&&) = delete;
    rank_engine& operator=(rank_engine&&) = delete;
    virtual ~rank_engine() = default;

    /// Reads the state.
    /// @param done called once; empty if the engine does not answer
    virtual void read(done_function done) = 0;

    /// Gives an order that the gate of the rank has allowed.
    /// @param command prepare, hold, activate or abort
    /// @param map content of the map to prepare, else empty
    /// @param done called once with the state after the order; empty if the engine does not answer
    virtual void order(const policy::map_command& command, const wire::expert_map& map,
                       done_function done) = 0;
};

} // namespace medlaryoke::controllers
