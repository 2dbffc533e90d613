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
    const bool addresses_any_incarnation =
        incarnation == 0 && std::holds_alternative<map_query_command>(command);
    const bool is_addressed_to_this =
        addresses_any_incarnation || incarnation == this->state_.incarnation;
    bool accepted = false;
    if (is_addressed_to_this && sender >= this->state_.promised) {
        this->state_.promised = sender;
        accepted = std::visit([this](const auto& body) { return this->execute(body); }, command);
    }
    auto answer = this->state_;
    answer.accepted = accepted;
    return answer;
}

void rank_gate::complete_loading(std::uint64_t version)
{
    if (version != 0 && version == this->loading_version_) {
        this->state_.prepared_version = version;
        this->loading_version_ = 0;
    }
}

bool rank_gate::may_start() const
{
    const bool is_held =
        this->state_.held_step != 0 && this->state_.next_step >= this->state_.held_step;
    return this->state_.active_version != 0 && !is_held;
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

bool rank_gate::execute(const map_query_command& /*command*/)
{
    return true;
}

bool rank_gate::execute(const map_prepare_command& command)
{
    if (this->state_.prepared_version != command.version) {
        this->loading_version_ = command.version;
        this->state_.prepared_version = 0;
    }
    return true;
}

bool rank_gate::execute(const map_hold_command& command)
{
    // A rank without a map runs no steps, so its step number can be set to any value.
    const bool lacks_map = this->state_.active_version == 0;
    if (this->state_.prepared_version != command.version ||
        (!lacks_map && this->state_.next_step > command.step)) {
        return false;
    }
    if (lacks_map) {
        this->state_.next_step = command.step;
        this->state_.completed_step = command.step - 1;
    }
    this->state_.held_step = command.step;
    this->state_.held_version = command.version;
    return true;
}

bool rank_gate::execute(const map_activate_command& command)
{
    if (this->state_.active_version == command.version) {
        return true; // the command was delivered twice
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

bool rank_gate::execute(const map_abort_command& /*command*/)
{
    this->loading_version_ = 0;
    this->state_.prepared_version = 0;
    this->state_.held_step = 0;
    this->state_.held_version = 0;
    return true;
}

} // namespace medlaryoke::policy
