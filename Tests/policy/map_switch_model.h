#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/map_switch.h"

namespace medlaryoke::tests {

/// Model of a lock-step group with two coordinators and a network that loses, repeats and reorders
/// messages. It runs the production classes and returns all states that follow from a state, so
/// that a search can explore them.
class map_switch_model {
public:
    static constexpr unsigned rank_count = 2;
    static constexpr unsigned coordinator_count = 2;

    /// Limits that keep the number of states finite.
    struct limits {
        unsigned restarts = 1;   ///< most restarts of ranks
        std::uint64_t steps = 3; ///< last step that ranks start
    };

    explicit map_switch_model(limits bounds);

    /// @param with_faults whether to include restarts, timeouts, repeated messages and the start of
    /// the second coordinator
    /// @return the states that follow from this state by one action
    [[nodiscard]] std::vector<map_switch_model> successors(bool with_faults) const;

    /// @return a text that identifies the state
    [[nodiscard]] std::string fingerprint() const;

    /// @return description of two ranks that started the same step with different maps; empty if
    /// none
    [[nodiscard]] const std::string& violation() const { return this->violation_; }

    /// @return versions of the maps that the ranks use
    [[nodiscard]] std::vector<std::uint64_t> active_versions() const;

    /// Runs another coordinator on a network without faults until it has finished.
    /// @return whether all ranks then use the same map and a rank can start a step, unless no rank
    /// has a map left
    [[nodiscard]] bool recovers() const;

private:
    struct command_message {
        policy::rank_command command;
        bool delivered = false;
    };
    struct status_message {
        unsigned coordinator = 0;
        unsigned rank = 0;
        policy::rank_status status;
        bool delivered = false;
    };
    struct started_step {
        std::uint64_t step = 0;
        std::uint64_t version = 0;
    };

    void add_command(const policy::rank_command& command);
    void deliver(command_message& message);
    void deliver(status_message& message);
    void start_step(unsigned rank);
    void restart(unsigned rank);
    void complete_steps();
    [[nodiscard]] bool can_start(unsigned rank) const;

    limits limits_;
    std::vector<policy::rank_gate> gates_;
    std::vector<policy::map_switch> coordinators_;
    std::vector<command_message> commands_;
    std::vector<status_message> statuses_;
    std::set<std::string> known_messages_; ///< texts of all messages sent
    std::array<std::optional<started_step>, rank_count> started_;
    std::uint64_t completed_step_ = 0;
    unsigned restarts_ = 0;
    unsigned active_coordinators_ = 1;
    std::string violation_;
};

} // namespace medlaryoke::tests
