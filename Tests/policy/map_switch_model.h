#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/map_switch.h"

namespace medlaryoke::tests {

/// A lock-step group with two coordinators and a network that loses, repeats and reorders
/// messages, built from the product's own classes. Actions are numbered, so that a search can
/// take each of them from each state.
class map_switch_model {
public:
    static constexpr unsigned rank_count = 2;
    static constexpr unsigned coordinator_count = 2;

    struct limits {
        unsigned restarts = 1;
        std::uint64_t steps = 3;
    };

    explicit map_switch_model(limits bounds);

    /// @param with_faults whether restarts, timeouts, repeated messages and the appearance of the
    /// second coordinator are among the actions
    /// @return the states that one action leads to
    [[nodiscard]] std::vector<map_switch_model> successors(bool with_faults) const;

    /// @return a text that differs for different states
    [[nodiscard]] std::string fingerprint() const;

    /// @return empty, or what went wrong: two ranks started one step with different maps
    [[nodiscard]] const std::string& violation() const { return this->violation_; }

    /// @return versions used by the ranks
    [[nodiscard]] std::vector<std::uint64_t> active_versions() const;

    /// Lets a last coordinator work over a network without faults until it is done.
    /// @return whether all ranks then use one map and can start a step
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

    limits bounds_;
    std::vector<policy::rank_gate> gates_;
    std::vector<policy::map_switch> coordinators_;
    std::vector<command_message> commands_;
    std::vector<status_message> statuses_;
    std::set<std::string> known_messages_;
    std::array<std::optional<started_step>, rank_count> started_;
    std::uint64_t completed_ = 0;
    unsigned restarts_ = 0;
    unsigned active_coordinators_ = 1;
    std::string violation_;
};

} // namespace medlaryoke::tests
