#pragma once

#include <cstdint>
#include <variant>

#include "policy/ballot.h"

namespace medlaryoke::policy {

/// Asks for the state. The rank then refuses commands with lower ballots.
struct map_query_command {
    bool operator==(const map_query_command&) const = default;
};

/// Tells a rank to load the weights of a map in addition to those of the active map.
struct map_prepare_command {
    std::uint64_t version = 0;
    bool operator==(const map_prepare_command&) const = default;
};

/// Tells a rank not to start a step until the switch to a map is activated or aborted.
struct map_hold_command {
    std::uint64_t version = 0; ///< map that the switch activates
    std::uint64_t step = 0;    ///< first step that must not start
    bool operator==(const map_hold_command&) const = default;
};

/// Tells a rank to use a map from a step on, and lifts the hold.
struct map_activate_command {
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    bool operator==(const map_activate_command&) const = default;
};

/// Drops the prepared map and lifts the hold.
struct map_abort_command {
    bool operator==(const map_abort_command&) const = default;
};

using map_command = std::variant<map_query_command, map_prepare_command, map_hold_command,
                                 map_activate_command, map_abort_command>;

/// State of one rank as reported to a coordinator, and the outcome of a command.
struct rank_status {
    ballot promised;               ///< highest ballot seen; commands with lower ballots are refused
    std::uint64_t incarnation = 0; ///< differs after each restart of the engine or the agent
    std::uint64_t active_version = 0;   ///< 0: the rank has no map and runs no step
    std::uint64_t prepared_version = 0; ///< 0: none
    std::uint64_t held_step = 0;        ///< first step that must not start; 0: none
    std::uint64_t held_version = 0;     ///< map whose activation lifts the hold
    std::uint64_t next_step = 1;        ///< first step that has not started
    std::uint64_t completed_step = 0;   ///< last step that the whole group has completed
    bool accepted = false;              ///< whether the command that this answers was executed

    bool operator==(const rank_status&) const = default;
};

/// Decides at one rank whether a step may start and with which expert map. Stores nothing
/// permanently: after a restart the rank starts no step until a coordinator activates a map. Not
/// thread safe.
class rank_gate {
public:
    /// @param incarnation random number that differs for each run of the agent
    explicit rank_gate(std::uint64_t incarnation);

    /// Adopts the maps, hold and steps that the engine of the rank reports. After a restart of the
    /// engine or the agent the incarnation differs and the promised ballot is reset. Commands for
    /// an earlier incarnation are refused from then on.
    /// @param engine_state state reported by the engine, with the current incarnation
    void refresh(const rank_status& engine_state);

    /// Executes or refuses a command of a coordinator.
    /// @param sender ballot of the coordinator; refused if it is lower than the promised ballot
    /// @param incarnation incarnation that the command is addressed to; a query may use 0 for any
    /// @param command the command
    /// @return the state after the command; `accepted` tells whether it was executed
    rank_status handle(const ballot& sender, std::uint64_t incarnation, const map_command& command);

    /// Marks a map as prepared when its weights have been loaded. Ignored if another map, or none,
    /// is being loaded.
    /// @param version version of the map
    void complete_loading(std::uint64_t version);

    /// @return version of the map whose weights are being loaded; 0 if none
    [[nodiscard]] std::uint64_t loading_version() const { return this->loading_version_; }

    /// @return whether the next step may start now
    [[nodiscard]] bool may_start() const;

    /// Starts the next step. Requires may_start().
    /// @return version of the map to use in the step
    std::uint64_t start_step();

    /// Records that the whole group has completed a step.
    /// @param step number of the step
    void complete_step(std::uint64_t step);

    /// @return the state, with `accepted` false
    [[nodiscard]] rank_status status() const { return this->state_; }

    bool operator==(const rank_gate&) const = default;

private:
    bool execute(const map_query_command& command);
    bool execute(const map_prepare_command& command);
    bool execute(const map_hold_command& command);
    bool execute(const map_activate_command& command);
    bool execute(const map_abort_command& command);

    rank_status state_;
    std::uint64_t loading_version_ = 0;
};

} // namespace medlaryoke::policy
