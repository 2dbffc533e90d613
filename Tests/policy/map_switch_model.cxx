#include "policy/map_switch_model.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::tests {

using namespace policy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t first_version = 1;
constexpr std::uint64_t second_version = 2;
constexpr std::uint64_t third_version = 3;
constexpr int max_recovery_rounds = 100;

std::string print(const ballot& value)
{
    return fmt::format("{}.{}", value.fence, value.round);
}

std::string print(const rank_status& it)
{
    return fmt::format("{},{},{},{},{},{},{},{},{}", print(it.promised), it.incarnation,
                       it.held_version, it.active_version, it.prepared_version, it.held_step,
                       it.next_step, it.completed_step, it.accepted);
}

struct command_printer {
    std::string operator()(const map_query_command& /*it*/) const { return "query"; }
    std::string operator()(const map_prepare_command& it) const
    {
        return fmt::format("prepare{}", it.version);
    }
    std::string operator()(const map_hold_command& it) const
    {
        return fmt::format("hold{}@{}", it.version, it.step);
    }
    std::string operator()(const map_activate_command& it) const
    {
        return fmt::format("activate{}@{}", it.version, it.step);
    }
    std::string operator()(const map_abort_command& /*it*/) const { return "abort"; }
};

std::string print(const rank_command& it)
{
    return fmt::format("{}:{}:{}:{}", it.rank, it.incarnation, print(it.sender),
                       std::visit(command_printer{}, it.command));
}

rank_status running_state()
{
    rank_status state;
    state.active_version = first_version;
    return state;
}

} // namespace

map_switch_model::map_switch_model(limits bounds) : limits_(bounds)
{
    for (unsigned rank = 0; rank < rank_count; ++rank) {
        auto state = running_state();
        state.incarnation = rank + 1;
        this->gates_.emplace_back(state.incarnation).refresh(state);
    }
    this->coordinators_.emplace_back(rank_count, ballot{1, 0, 1}, second_version, 1s, time_point{});
    this->coordinators_.emplace_back(rank_count, ballot{2, 0, 2}, third_version, 1s, time_point{});
}

std::vector<map_switch_model> map_switch_model::successors(bool with_faults) const
{
    std::vector<map_switch_model> result;
    const auto add = [this, &result](const auto& action) {
        auto next = *this;
        action(next);
        result.push_back(std::move(next));
    };
    for (unsigned rank = 0; rank < rank_count; ++rank) {
        if (this->can_start(rank)) {
            add([rank](map_switch_model& it) { it.start_step(rank); });
        }
        if (this->gates_[rank].status().completed_step < this->completed_step_) {
            add([rank](map_switch_model& it) {
                it.gates_[rank].complete_step(it.completed_step_);
            });
        }
        if (with_faults && this->restarts_ < this->limits_.restarts) {
            add([rank](map_switch_model& it) { it.restart(rank); });
        }
        if (const auto version = this->gates_[rank].loading_version(); version != 0) {
            add([rank, version](map_switch_model& it) {
                it.gates_[rank].complete_loading(version);
            });
        }
    }
    for (unsigned n = 0; n < this->active_coordinators_; ++n) {
        for (const auto& command : this->coordinators_[n].commands()) {
            if (!this->known_messages_.contains(print(command))) {
                add([&command](map_switch_model& it) { it.add_command(command); });
            }
        }
        if (with_faults) {
            add([n](map_switch_model& it) {
                it.coordinators_[n].check_timeouts(time_point{} + 2s);
            });
        }
    }
    if (with_faults && this->active_coordinators_ < coordinator_count) {
        add([](map_switch_model& it) { ++it.active_coordinators_; });
    }
    for (std::size_t n = 0; n < this->commands_.size(); ++n) {
        if (with_faults || !this->commands_[n].delivered) {
            add([n](map_switch_model& it) { it.deliver(it.commands_[n]); });
        }
    }
    for (std::size_t n = 0; n < this->statuses_.size(); ++n) {
        if (with_faults || !this->statuses_[n].delivered) {
            add([n](map_switch_model& it) { it.deliver(it.statuses_[n]); });
        }
    }
    return result;
}

std::string map_switch_model::fingerprint() const
{
    std::string text;
    for (const auto& gate : this->gates_) {
        text += print(gate.status()) + fmt::format("/{};", gate.loading_version());
    }
    for (const auto& coordinator : this->coordinators_) {
        text += fmt::format("{}:{}", static_cast<int>(coordinator.phase()), coordinator.version());
        for (const auto& command : coordinator.commands()) {
            text += print(command) + ",";
        }
    }
    for (const auto& message : this->known_messages_) {
        text += message + "|";
    }
    for (const auto& it : this->started_) {
        text += it ? fmt::format("s{}v{}", it->step, it->version) : "-";
    }
    return text + fmt::format("c{}r{}a{}", this->completed_step_, this->restarts_,
                              this->active_coordinators_);
}

std::vector<std::uint64_t> map_switch_model::active_versions() const
{
    std::vector<std::uint64_t> result;
    std::ranges::transform(this->gates_, std::back_inserter(result),
                           [](const rank_gate& gate) { return gate.status().active_version; });
    return result;
}

bool map_switch_model::recovers() const
{
    auto it = *this;
    bool finished = false;
    for (std::uint32_t round = 0; round < max_recovery_rounds && !finished; ++round) {
        map_switch coordinator(rank_count, ballot{9, round, 9}, 0, 1s, time_point{});
        for (int n = 0; n < max_recovery_rounds && coordinator.phase() != switch_phase::done &&
                        coordinator.phase() != switch_phase::fenced;
             ++n) {
            for (unsigned rank = 0; rank < rank_count; ++rank) {
                if (it.can_start(rank)) {
                    it.start_step(rank);
                }
                it.gates_[rank].complete_step(it.completed_step_);
            }
            for (const auto& command : coordinator.commands()) {
                auto& gate = it.gates_[command.rank];
                gate.handle(command.sender, command.incarnation, command.command);
                gate.complete_loading(gate.loading_version());
                coordinator.on_status(command.rank, gate.handle(command.sender, command.incarnation,
                                                                command.command));
            }
        }
        finished = coordinator.phase() == switch_phase::done;
    }
    const auto versions = it.active_versions();
    const auto is_same =
        std::ranges::adjacent_find(versions, std::not_equal_to{}) == versions.end();
    const auto can_start_step = std::ranges::any_of(it.gates_, &rank_gate::may_start);
    // If all ranks restarted at the same time, no map is left and the group needs a cold start.
    return finished && is_same && (can_start_step || versions.front() == 0) &&
           it.violation_.empty();
}

void map_switch_model::add_command(const rank_command& command)
{
    this->commands_.push_back({command, false});
    this->known_messages_.insert(print(command));
}

void map_switch_model::deliver(command_message& message)
{
    message.delivered = true;
    const auto& command = message.command;
    const auto status =
        this->gates_[command.rank].handle(command.sender, command.incarnation, command.command);
    const unsigned coordinator = command.sender.fence == 1 ? 0 : 1;
    const auto text = fmt::format("{}<{}:{}", coordinator, command.rank, print(status));
    if (this->known_messages_.insert(text).second) {
        this->statuses_.push_back({coordinator, command.rank, status, false});
    }
}

void map_switch_model::deliver(status_message& message)
{
    message.delivered = true;
    this->coordinators_[message.coordinator].on_status(message.rank, message.status);
}

void map_switch_model::start_step(unsigned rank)
{
    auto& gate = this->gates_[rank];
    gate.complete_step(this->completed_step_);
    const auto step = gate.status().next_step;
    const auto version = gate.start_step();
    this->started_[rank] = started_step{step, version};
    const auto conflicts = std::ranges::any_of(this->started_, [step, version](const auto& it) {
        return it && it->step == step && it->version != version;
    });
    if (conflicts) {
        this->violation_ = fmt::format("rank {} started step {} with map {}", rank, step, version);
    }
    this->complete_steps();
}

void map_switch_model::restart(unsigned rank)
{
    ++this->restarts_;
    this->gates_[rank] = rank_gate(rank_count + this->restarts_);
    this->started_[rank].reset();
}

void map_switch_model::complete_steps()
{
    const auto step = this->completed_step_ + 1;
    const auto all_started = std::ranges::all_of(
        this->started_, [step](const auto& it) { return it && it->step >= step; });
    if (all_started) {
        this->completed_step_ = step;
    }
}

bool map_switch_model::can_start(unsigned rank) const
{
    const auto& gate = this->gates_[rank];
    const auto next = gate.status().next_step;
    return gate.may_start() && next == this->completed_step_ + 1 && next <= this->limits_.steps;
}

} // namespace medlaryoke::tests
