#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "policy/rank_gate.h"

namespace medlaryoke::policy {

/// A command and the rank whose agent must execute it.
struct rank_command {
    unsigned rank = 0;
    std::uint64_t incarnation = 0; ///< incarnation that the command is addressed to; 0: any
    ballot sender;
    map_command command;

    bool operator==(const rank_command&) const = default;
};

enum class switch_phase {
    query,    ///< all ranks report their state and then refuse lower ballots
    prepare,  ///< ranks load the weights of the map
    hold,     ///< ranks stop before the step of the switch
    activate, ///< the switch is decided and all ranks must activate the map
    abort,    ///< the switch has failed and ranks drop the map and lift the hold
    done,     ///< nothing is left to do; after an abort ranks keep their maps
    fenced,   ///< superseded, a rank restarted, or the query timed out; retry with a higher ballot
};

/// State machine of one attempt of a coordinator to make all ranks of a group use the same map.
/// That is either a new map or, after the loss of a rank or a coordinator, the newest map that any
/// rank uses. Requires answers of all ranks, because a lock-step group cannot run a step without
/// all of them anyway. Not thread safe.
class map_switch {
public:
    /// @param rank_count number of ranks in the group
    /// @param own_ballot ballot of this attempt; must not be used for another attempt
    /// @param target version of the map to switch to; 0 only completes or aborts an earlier attempt
    /// @param timeout time after which an undecided switch is aborted
    /// @param now the current time
    /// @param hold_timeout time after which an undecided switch that holds ranks is aborted
    map_switch(unsigned rank_count, const ballot& own_ballot, std::uint64_t target,
               duration timeout, time_point now, duration hold_timeout = std::chrono::seconds(1));

    /// Processes the status of one rank.
    /// @param rank index of the rank in the group
    /// @param status answer of the rank to a command
    void on_status(unsigned rank, const rank_status& status);

    /// Aborts an undecided switch after a timeout. If a rank has not answered the query by then,
    /// the attempt ends as fenced instead.
    /// @param now the current time
    void check_timeouts(time_point now);

    /// @return commands that ranks have not confirmed yet; the caller resends them until they have
    [[nodiscard]] std::vector<rank_command> commands() const;

    /// @param rank index of the rank in the group
    /// @return last status of the rank with the ballot of this attempt; a default value if none
    [[nodiscard]] const rank_status& status(unsigned rank) const
    {
        return this->ranks_.at(rank).status;
    }

    [[nodiscard]] switch_phase phase() const { return this->phase_; }

    /// @return version of the map that all ranks must use; 0 until all ranks have answered the
    /// query
    [[nodiscard]] std::uint64_t version() const { return this->version_; }

    bool operator==(const map_switch&) const = default;

private:
    struct rank_progress {
        rank_status status;       ///< last status with the ballot of this attempt
        bool answered = false;    ///< whether a status was received
        bool must_switch = false; ///< does not use the target map yet
        bool released = false;    ///< has confirmed the abort command

        bool operator==(const rank_progress&) const = default;
    };

    /// Chooses the map that all ranks must use and starts a switch if one is needed.
    void decide();
    void start_switch(std::uint64_t target);
    void advance();
    [[nodiscard]] bool is_confirmed(const rank_progress& progress) const;
    [[nodiscard]] std::uint64_t choose_switch_step() const;
    [[nodiscard]] map_command command_for(const rank_progress& progress) const;

    std::vector<rank_progress> ranks_;
    ballot ballot_;
    std::uint64_t target_;
    time_point deadline_;
    duration hold_timeout_;
    time_point hold_deadline_ = time_point::max();
    switch_phase phase_ = switch_phase::query;
    std::uint64_t version_ = 0;
    std::uint64_t switch_step_ = 0;
};

} // namespace medlaryoke::policy
