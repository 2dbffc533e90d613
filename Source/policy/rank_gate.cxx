#include "policy/rank_gate.h"

#include <algorithm>

namespace medlaryoke::policy {

rank_gate::rank_gate(std::uint64_t incarnation)
{
    this->state_.incarnation = incarnation;
}

void rank_gate::refresh(const rank_status& engine_state)
{
    const auto promised =
        engine_state.incarnation == this->state_.incarnation ? this->state_.promised : ballot{};
    this->state_ = engine_state;
    this->state_.promised = promised;
    this->state_.accepted = false;
    if (this->loading_version_ == engine_state.prepared_version) {
        this->loading_version_ = 0;
    }
}

rank_status rank_gate::handle(const ballot& sender, std::uint64_t incarnation,
                              const map_command& command)
{
    const bool any_incarnation =
        incarnation == 0 && std::holds_alternative<map_query_command>(command);
    const bool meant_for_this = any_incarnation || incarnation == this->state_.incarnation;
    bool accepted = false;
    if (meant_for_this && sender >= this->state_.promised) {
        this->state_.promised = sender;
        accepted = std::visit([this](const auto& body) { return this->obey(body); }, command);
    }
    auto answer = this->state_;
    answer.accepted = accepted;
    return answer;
}

void rank_gate::loaded(std::uint64_t version)
{
    if (version != 0 && version == this->loading_version_) {
        this->state_.prepared_version = version;
        this->loading_version_ = 0;
    }
}

bool rank_gate::may_start() const
{
    const bool held =
        this->state_.held_step != 0 && this->state_.next_step >= this->state_.held_step;
    return this->state_.active_version != 0 && !held;
}

std::uint64_t rank_gate::start_step()
{
    ++this->state_.next_step;
    return this->state_.active_version;
}

void rank_gate::complete_step(std::uint64_t step)
{
    this->state_.completed_step = std::max(this->state_.completed_step, step);
}

bool rank_gate::obey(const map_query_command& /*command*/)
{
    return true;
}

bool rank_gate::obey(const map_prepare_command& command)
{
    if (this->state_.prepared_version != command.version) {
        this->loading_version_ = command.version;
        this->state_.prepared_version = 0;
    }
    return true;
}

bool rank_gate::obey(const map_hold_command& command)
{
    // A rank without a map starts nothing, so it can be moved to any step.
    const bool restarted = this->state_.active_version == 0;
    if (this->state_.prepared_version != command.version ||
        (!restarted && this->state_.next_step > command.step)) {
        return false;
    }
    if (restarted) {
        this->state_.next_step = command.step;
        this->state_.completed_step = command.step - 1;
    }
    this->state_.held_step = command.step;
    this->state_.held_version = command.version;
    return true;
}

bool rank_gate::obey(const map_activate_command& command)
{
    if (this->state_.active_version == command.version) {
        return true; // a repeated command
    }
    if (this->state_.held_version != command.version || this->state_.held_step != command.step ||
        this->state_.next_step != command.step) {
        return false;
    }
    this->state_.active_version = command.version;
    this->state_.prepared_version = 0;
    this->state_.held_step = 0;
    this->state_.held_version = 0;
    return true;
}

bool rank_gate::obey(const map_abort_command& /*command*/)
{
    this->loading_version_ = 0;
    this->state_.prepared_version = 0;
    this->state_.held_step = 0;
    this->state_.held_version = 0;
    return true;
}

} // namespace medlaryoke::policy
