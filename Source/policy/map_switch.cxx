#include "policy/map_switch.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

// A running rank starts further steps while the hold command is on its way.
constexpr std::uint64_t hold_margin_steps = 2;

} // namespace

map_switch::map_switch(unsigned rank_count, const ballot& own, std::uint64_t target,
                       duration timeout, time_point now, duration hold_timeout)
    : ranks_(rank_count), own_(own), target_(target), deadline_(now + timeout),
      hold_timeout_(hold_timeout)
{
}

void map_switch::on_status(unsigned rank, const rank_status& status)
{
    if (this->phase_ == switch_phase::fenced || this->phase_ == switch_phase::done ||
        rank >= this->ranks_.size()) {
        return;
    }
    auto& view = this->ranks_[rank];
    const bool restarted = view.answered && view.status.incarnation != status.incarnation;
    if (restarted || status.promised > this->own_) {
        this->phase_ = switch_phase::fenced;
        return;
    }
    if (status.promised != this->own_) {
        return; // a status from before the query
    }
    view.status = status;
    view.answered = true;
    const bool started_too_far = this->phase_ == switch_phase::hold && view.joins &&
                                 status.active_version != 0 && status.next_step > this->step_;
    if (started_too_far) {
        this->phase_ = switch_phase::abort;
        return;
    }
    if (this->phase_ == switch_phase::abort && status.accepted && status.held_step == 0 &&
        status.prepared_version == 0) {
        view.released = true;
    }
    this->advance();
}

void map_switch::on_time(time_point now)
{
    const bool undecided = this->phase_ == switch_phase::query ||
                           this->phase_ == switch_phase::prepare ||
                           this->phase_ == switch_phase::hold;
    if (this->phase_ == switch_phase::hold && this->hold_deadline_ == time_point::max()) {
        this->hold_deadline_ = now + this->hold_timeout_;
    }
    if (now < std::min(this->deadline_, this->hold_deadline_) || !undecided) {
        return;
    }
    // Without all answers to the query another coordinator may already have decided a switch.
    this->phase_ = this->phase_ == switch_phase::query ? switch_phase::fenced : switch_phase::abort;
}

std::vector<rank_command> map_switch::commands() const
{
    std::vector<rank_command> result;
    if (this->phase_ == switch_phase::done || this->phase_ == switch_phase::fenced) {
        return result;
    }
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        const auto& view = this->ranks_[rank];
        if (!this->is_confirmed(view)) {
            const auto incarnation = view.answered ? view.status.incarnation : 0;
            result.push_back({rank, incarnation, this->own_, this->command_for(view)});
        }
    }
    return result;
}

void map_switch::decide()
{
    const auto active = [](const rank_view& view) { return view.status.active_version; };
    const auto newest = active(*std::ranges::max_element(this->ranks_, {}, active));
    const auto is_mixed = std::ranges::any_of(
        this->ranks_, [newest](std::uint64_t version) { return version != newest; }, active);
    const auto is_held = std::ranges::any_of(
        this->ranks_, [](const rank_view& view) { return view.status.held_step != 0; });
    if (newest != 0 && is_mixed) {
        // Some rank already uses the newest map, so all must.
        this->start_switch(newest);
    }
    else if (this->target_ > newest) {
        this->start_switch(this->target_);
    }
    else {
        this->version_ = newest;
        this->phase_ = is_held ? switch_phase::abort : switch_phase::done;
    }
}

void map_switch::start_switch(std::uint64_t target)
{
    this->version_ = target;
    this->phase_ = switch_phase::prepare;
    for (auto& view : this->ranks_) {
        view.joins = view.status.active_version != target;
    }
}

void map_switch::advance()
{
    const auto confirmed = [this](const rank_view& view) { return this->is_confirmed(view); };
    while (this->phase_ != switch_phase::done && std::ranges::all_of(this->ranks_, confirmed)) {
        switch (this->phase_) {
        case switch_phase::query:
            this->decide();
            break;
        case switch_phase::prepare:
            this->step_ = this->choose_step();
            this->phase_ = switch_phase::hold;
            break;
        case switch_phase::hold:
            this->phase_ = switch_phase::activate;
            break;
        default:
            this->phase_ = switch_phase::done;
            break;
        }
    }
}

std::uint64_t map_switch::choose_step() const
{
    std::uint64_t step = 0;
    std::uint64_t completed = 0;
    for (const auto& view : this->ranks_) {
        const auto& status = view.status;
        completed = std::max(completed, status.completed_step);
        if (view.joins && status.active_version != 0) {
            step = std::max(step, status.held_step != 0 ? status.held_step
                                                        : status.next_step + hold_margin_steps);
        }
    }
    // If only ranks without a map join, the group is stopped at its first incomplete step.
    return step != 0 ? step : completed + 1;
}

bool map_switch::is_confirmed(const rank_view& view) const
{
    if (!view.answered) {
        return false;
    }
    const auto& status = view.status;
    switch (this->phase_) {
    case switch_phase::prepare:
        return !view.joins || status.prepared_version == this->version_;
    case switch_phase::hold:
        return !view.joins ||
               (status.held_version == this->version_ && status.held_step == this->step_ &&
                status.next_step == this->step_ && status.completed_step + 1 == this->step_);
    case switch_phase::activate:
        return view.joins ? status.active_version == this->version_ : status.held_step == 0;
    case switch_phase::abort:
        return view.released;
    case switch_phase::query:
    case switch_phase::done:
    case switch_phase::fenced:
        break;
    }
    return true;
}

map_command map_switch::command_for(const rank_view& view) const
{
    switch (this->phase_) {
    case switch_phase::prepare:
        return map_prepare_command{this->version_};
    case switch_phase::hold:
        return map_hold_command{this->version_, this->step_};
    case switch_phase::activate:
        if (view.joins) {
            return map_activate_command{this->version_, this->step_};
        }
        // A rank that uses the map already may still be held for a later one that no rank uses.
        return map_abort_command{};
    case switch_phase::abort:
        return map_abort_command{};
    case switch_phase::query:
    case switch_phase::done:
    case switch_phase::fenced:
        break;
    }
    return map_query_command{};
}

} // namespace medlaryoke::policy
