#include "policy/map_switch.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

// Running ranks start further steps while the hold command is in transit.
constexpr std::uint64_t hold_margin_steps = 2;

} // namespace

map_switch::map_switch(unsigned rank_count, const ballot& own_ballot, std::uint64_t target,
                       duration timeout, time_point now, duration hold_timeout)
    : ranks_(rank_count), ballot_(own_ballot), target_(target), deadline_(now + timeout),
      hold_timeout_(hold_timeout)
{
}

void map_switch::on_status(unsigned rank, const rank_status& status)
{
    if (this->phase_ == switch_phase::fenced || this->phase_ == switch_phase::done ||
        rank >= this->ranks_.size()) {
        return;
    }
    auto& progress = this->ranks_[rank];
    const bool has_restarted =
        progress.answered && progress.status.incarnation != status.incarnation;
    if (has_restarted || status.promised > this->ballot_) {
        this->phase_ = switch_phase::fenced;
        return;
    }
    if (status.promised != this->ballot_) {
        return; // the status was sent before the rank received the query
    }
    progress.status = status;
    progress.answered = true;
    const bool has_passed_switch_step = this->phase_ == switch_phase::hold &&
                                        progress.must_switch && status.active_version != 0 &&
                                        status.next_step > this->switch_step_;
    if (has_passed_switch_step) {
        this->phase_ = switch_phase::abort;
        return;
    }
    if (this->phase_ == switch_phase::abort && status.accepted && status.held_step == 0 &&
        status.prepared_version == 0) {
        progress.released = true;
    }
    this->advance();
}

void map_switch::check_timeouts(time_point now)
{
    const bool is_undecided = this->phase_ == switch_phase::query ||
                              this->phase_ == switch_phase::prepare ||
                              this->phase_ == switch_phase::hold;
    if (this->phase_ == switch_phase::hold && this->hold_deadline_ == time_point::max()) {
        this->hold_deadline_ = now + this->hold_timeout_;
    }
    if (now < std::min(this->deadline_, this->hold_deadline_) || !is_undecided) {
        return;
    }
    // As long as answers to the query are missing, an abort is not safe: another coordinator may
    // already have decided a switch.
    this->phase_ = this->phase_ == switch_phase::query ? switch_phase::fenced : switch_phase::abort;
}

std::vector<rank_command> map_switch::commands() const
{
    std::vector<rank_command> result;
    if (this->phase_ == switch_phase::done || this->phase_ == switch_phase::fenced) {
        return result;
    }
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        const auto& progress = this->ranks_[rank];
        if (!this->is_confirmed(progress)) {
            const auto incarnation = progress.answered ? progress.status.incarnation : 0;
            result.push_back({rank, incarnation, this->ballot_, this->command_for(progress)});
        }
    }
    return result;
}

void map_switch::decide()
{
    const auto active_version_of = [](const rank_progress& progress) {
        return progress.status.active_version;
    };
    const auto newest =
        active_version_of(*std::ranges::max_element(this->ranks_, {}, active_version_of));
    const auto is_mixed = std::ranges::any_of(
        this->ranks_, [newest](std::uint64_t version) { return version != newest; },
        active_version_of);
    const auto is_held = std::ranges::any_of(
        this->ranks_, [](const rank_progress& progress) { return progress.status.held_step != 0; });
    if (newest != 0 && is_mixed) {
        // A rank already uses the newest map, so that switch was decided and all ranks must follow.
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
    for (auto& progress : this->ranks_) {
        progress.must_switch = progress.status.active_version != target;
    }
}

void map_switch::advance()
{
    const auto confirmed = [this](const rank_progress& progress) {
        return this->is_confirmed(progress);
    };
    while (this->phase_ != switch_phase::done && std::ranges::all_of(this->ranks_, confirmed)) {
        switch (this->phase_) {
        case switch_phase::query:
            this->decide();
            break;
        case switch_phase::prepare:
            this->switch_step_ = this->choose_switch_step();
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

std::uint64_t map_switch::choose_switch_step() const
{
    std::uint64_t step = 0;
    std::uint64_t completed = 0;
    for (const auto& progress : this->ranks_) {
        const auto& status = progress.status;
        completed = std::max(completed, status.completed_step);
        if (progress.must_switch && status.active_version != 0) {
            step = std::max(step, status.held_step != 0 ? status.held_step
                                                        : status.next_step + hold_margin_steps);
        }
    }
    // If only ranks without a map switch, the group has stopped at its first incomplete step.
    return step != 0 ? step : completed + 1;
}

bool map_switch::is_confirmed(const rank_progress& progress) const
{
    if (!progress.answered) {
        return false;
    }
    const auto& status = progress.status;
    switch (this->phase_) {
    case switch_phase::prepare:
        return !progress.must_switch || status.prepared_version == this->version_;
    case switch_phase::hold:
        return !progress.must_switch ||
               (status.held_version == this->version_ && status.held_step == this->switch_step_ &&
                status.next_step == this->switch_step_ &&
                status.completed_step + 1 == this->switch_step_);
    case switch_phase::activate:
        return progress.must_switch ? status.active_version == this->version_
                                    : status.held_step == 0;
    case switch_phase::abort:
        return progress.released;
    case switch_phase::query:
    case switch_phase::done:
    case switch_phase::fenced:
        break;
    }
    return true;
}

map_command map_switch::command_for(const rank_progress& progress) const
{
    switch (this->phase_) {
    case switch_phase::prepare:
        return map_prepare_command{this->version_};
    case switch_phase::hold:
        return map_hold_command{this->version_, this->switch_step_};
    case switch_phase::activate:
        if (progress.must_switch) {
            return map_activate_command{this->version_, this->switch_step_};
        }
        // A rank that already uses the map may still be held for a later map that no rank uses.
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
