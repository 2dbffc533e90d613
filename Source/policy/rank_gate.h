#pragma once

#include <cstdint>
#include <variant>

#include "policy/ballot.h"

namespace medlaryoke::policy {

/// Asks for the state and fences all lower ballots.
struct map_query_command {
    bool operator==(const map_query_command&) const = default;
};

/// Loads the weights of a map beside the active one.
struct map_prepare_command {
    std::uint64_t version = 0;
    bool operator==(const map_prepare_command&) const = default;
};

/// Forbids to start a step before the switch to a map is activated or aborted.
struct map_hold_command {
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    bool operator==(const map_hold_command&) const = default;
};

/// Uses a map from a step on.
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

/// State of one rank as reported to a coordinator.
struct rank_status {
    ballot promised;
    std::uint64_t incarnation = 0;
    std::uint64_t active_version = 0;   ///< 0: the rank has no map and runs no step
    std::uint64_t prepared_version = 0; ///< 0: none
    std::uint64_t held_step = 0;        ///< 0: not held
    std::uint64_t held_version = 0;     ///< map that the hold waits for
    std::uint64_t next_step = 1;        ///< first step not yet started
    std::uint64_t completed_step = 0;   ///< last step completed by the whole group
    bool accepted = false;              ///< whether the command answered was obeyed

    bool operator==(const rank_status&) const = default;
};

/// Decides at one rank whether a step may start and with which expert map. Keeps nothing over a
/// restart: a new incarnation holds until a coordinator activates a map. Not thread safe.
class rank_gate {
public:
    /// @param incarnation random number of this life of the agent
    explicit rank_gate(std::uint64_t incarnation);

    /// Takes over maps, hold and steps as the engine of the rank reports them. If the engine or
    /// the agent restarted, the incarnation differs and all promises are dropped: no command that
    /// was meant for an earlier incarnation is obeyed any more.
    /// @param engine_state what the engine reports, with the current incarnation
    void refresh(const rank_status& engine_state);

    /// Obeys or refuses a command of a coordinator.
    /// @param sender ballot of the coordinator; a lower one than promised is refused
    /// @param incarnation incarnation the command is meant for; 0 for a query to any
    /// @param command what to do
    /// @return the state after the command; `accepted` tells whether it was obeyed
    rank_status handle(const ballot& sender, std::uint64_t incarnation, const map_command& command);

    /// Reports that the weights of a map are loaded.
    /// @param version the map asked for by a prepare command
    void loaded(std::uint64_t version);

    /// @return the version being loaded, 0 if none
    [[nodiscard]] std::uint64_t loading_version() const { return this->loading_version_; }

    /// @return whether the next step may start now
    [[nodiscard]] bool may_start() const;

    /// Starts the next step; only valid if may_start().
    /// @return the map version to use
    std::uint64_t start_step();

    /// Reports that the whole group has completed a step.
    /// @param step the step
    void complete_step(std::uint64_t step);

    /// @return the state, with `accepted` false
    [[nodiscard]] rank_status status() const { return this->state_; }

    bool operator==(const rank_gate&) const = default;

private:
    bool obey(const map_query_command& command);
    bool obey(const map_prepare_command& command);
    bool obey(const map_hold_command& command);
    bool obey(const map_activate_command& command);
    bool obey(const map_abort_command& command);

    rank_status state_;
    std::uint64_t loading_version_ = 0;
};

} // namespace medlaryoke::policy
