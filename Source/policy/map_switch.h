#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "policy/rank_gate.h"

namespace medlaryoke::policy {

/// A command for the agent of one rank.
struct rank_command {
    unsigned rank = 0;
    std::uint64_t incarnation = 0; ///< 0: any
    ballot sender;
    map_command command;

    bool operator==(const rank_command&) const = default;
};

enum class switch_phase {
    query,    ///< learning the state of all ranks and fencing lower ballots
    prepare,  ///< ranks load weights
    hold,     ///< ranks stop before one step
    activate, ///< the switch is decided; all ranks must follow
    abort,    ///< the switch is given up; holds are being lifted
    done,     ///< all ranks use one map
    fenced,   ///< a rank obeys a higher ballot, or restarted; begin again with a higher ballot
};

/// One attempt of a coordinator to bring all ranks of a group to one map, either a new one or,
/// after the loss of a rank or a coordinator, the newest that any rank uses. Needs the answers of
/// all ranks, which a lock-step group needs for its steps anyway. Not thread safe.
class map_switch {
public:
    /// @param rank_count number of ranks in the group
    /// @param own ballot of this attempt; never used for another attempt
    /// @param target version wanted; 0 only finishes or aborts what an earlier attempt left
    /// @param timeout longest time until the switch is decided or aborted
    /// @param now the current time
    /// @param hold_timeout longest time that undecided ranks are held
    map_switch(unsigned rank_count, const ballot& own, std::uint64_t target, duration timeout,
               time_point now, duration hold_timeout = std::chrono::seconds(1));

    /// Takes the status of one rank.
    /// @param rank position in the group
    /// @param status as answered by the rank
    void on_status(unsigned rank, const rank_status& status);

    /// Gives up an undecided switch after the timeout.
    /// @param now the current time
    void on_time(time_point now);

    /// @return the commands that are not yet confirmed; repeated until they are
    [[nodiscard]] std::vector<rank_command> commands() const;

    /// @param rank position in the group
    /// @return last status of the rank under the own ballot; a default one if there is none
    [[nodiscard]] const rank_status& status(unsigned rank) const
    {
        return this->ranks_.at(rank).status;
    }

    [[nodiscard]] switch_phase phase() const { return this->phase_; }

    /// @return the version that the group is brought to; 0 until all ranks have answered
    [[nodiscard]] std::uint64_t version() const { return this->version_; }

    bool operator==(const map_switch&) const = default;

private:
    struct rank_view {
        rank_status status;    ///< last status under the own ballot
        bool answered = false; ///< whether there is such a status
        bool joins = false;    ///< takes part in the switch
        bool released = false; ///< has confirmed the abort

        bool operator==(const rank_view&) const = default;
    };

    void decide();
    void start_switch(std::uint64_t target);
    void advance();
    [[nodiscard]] bool is_confirmed(const rank_view& view) const;
    [[nodiscard]] std::uint64_t choose_step() const;
    [[nodiscard]] map_command command_for(const rank_view& view) const;

    std::vector<rank_view> ranks_;
    ballot own_;
    std::uint64_t target_;
    time_point deadline_;
    duration hold_timeout_;
    time_point hold_deadline_ = time_point::max();
    switch_phase phase_ = switch_phase::query;
    std::uint64_t version_ = 0;
    std::uint64_t step_ = 0;
};

} // namespace medlaryoke::policy
