#include "policy/map_rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlaryoke::policy {

namespace {

expert_map with_version(expert_map map, std::uint64_t version)
{
    map.version = version;
    return map;
}

} // namespace

std::string_view to_string(rollout_phase phase)
{
    constexpr std::array<std::string_view, 13> names{
        "fence",  "complete", "seize", "prepare", "hold",     "arm", "go",
        "verify", "withdraw", "lift",  "done",    "given_up", "lost"};
    return names.at(static_cast<std::size_t>(phase));
}

group_condition assess_group(const std::vector<rank_report>& reports, unsigned holding_rank,
                             bool is_surveyed)
{
    const auto is_armed = [](const rank_report& it) { return it.armed_version.has_value(); };
    const auto is_held = [](const rank_report& it) { return it.held_step.has_value(); };
    const auto armed = std::ranges::count_if(reports, is_armed);
    const auto held = std::ranges::count_if(reports, is_held);
    if (armed == 0 && held == 0) {
        return group_condition::clear;
    }
    const bool one_version = std::ranges::all_of(reports, [&reports](const rank_report& it) {
        return it.armed_version == reports.front().armed_version;
    });
    if (armed > 0 && held == 0 && one_version) {
        return group_condition::switch_pending;
    }
    if (armed == 0 && held == 1 && is_surveyed && reports.at(holding_rank).held_step) {
        return group_condition::own_late_hold;
    }
    return group_condition::unfinished_switch;
}

map_rollout::map_rollout(unsigned ranks, std::uint64_t epoch, expert_map target, expert_map current,
                         time_point now, rollout_options options)
    : options_(options), epoch_(epoch), target_(std::move(target)),
      rollback_map_(with_version(std::move(current), target_.map->version + 1)), ranks_(ranks),
      rollout_started_(now), phase_started_(now), holding_rank_(options.holding_rank % ranks)
{
    if (options.is_surveyed && options.own_late_hold) {
        this->ranks_[this->holding_rank_].inherited_hold = options.own_late_hold;
        this->phase_ = rollout_phase::lift;
    }
    else if (options.is_surveyed) {
        this->phase_ = rollout_phase::prepare;
    }
}

void map_rollout::on_reply(std::uint64_t round, unsigned rank,
                           const std::optional<rank_order>& order, order_result result,
                           const std::optional<rank_report>& report, time_point now)
{
    if (this->is_over()) {
        return;
    }
    if (result == order_result::fenced || (report && report->epoch != this->epoch_)) {
        this->is_superseded_ = result == order_result::fenced;
        this->phase_ = rollout_phase::lost;
        return;
    }
    this->unanswered_orders_ += result == order_result::unanswered ? 1 : 0;
    if (!report) {
        return;
    }
    if (this->is_newer_coordinator_active(*report)) {
        this->is_superseded_ = true;
        this->phase_ = rollout_phase::lost;
        return;
    }
    this->first_known_step_ = this->first_known_step_.value_or(report->step);
    this->highest_known_step_ = std::max(this->highest_known_step_, report->step);
    if (round != this->round_) {
        return;
    }
    auto& progress = this->ranks_[rank];
    progress.report = report;
    if (order && result == order_result::conflict) {
        this->handle_conflict(rank, now);
    }
    else if (order && result == order_result::done && !std::exchange(progress.acknowledged, true)) {
        this->note_order_latency(now);
    }
    this->handle_unexpected_state(rank, now);
    this->advance(now);
}

void map_rollout::handle_conflict(unsigned rank, time_point now)
{
    const auto& report = *this->ranks_[rank].report;
    switch (this->phase_) {
    case rollout_phase::prepare:
        // An earlier copy of the order may have been executed without an answer reaching this
        // coordinator. The reported state shows whether it was.
        this->ranks_[rank].acknowledged = true;
        break;
    case rollout_phase::seize:
        this->restart_survey(now); // the step has begun, or the rank holds another step
        break;
    case rollout_phase::hold:
        if (!report.held_step) {
            this->choose_switch_step(now); // the step has already begun
        }
        break;
    case rollout_phase::arm:
        if (report.armed_version != this->target_.map->version) {
            this->give_up(now);
        }
        break;
    default:
        break; // the reported state decides which order follows
    }
}

void map_rollout::handle_unexpected_state(unsigned rank, time_point now)
{
    auto& progress = this->ranks_[rank];
    const auto& report = progress.report;
    if (!report) {
        return; // a conflict has begun another phase
    }
    switch (this->phase_) {
    case rollout_phase::prepare:
        // Another coordinator is at work, or an order of it was executed late. A hold at the
        // holding rank is a late order of this coordinator and is lifted.
        if (report->armed_version || (report->held_step && rank != this->holding_rank_)) {
            this->give_up(now);
        }
        break;
    case rollout_phase::withdraw:
        if (report->map_version == this->target_.map->version) {
            this->enter_phase(rollout_phase::verify, now); // the step of the switch has begun
        }
        else if (report->held_step &&
                 !(rank == this->holding_rank_ && report->held_step == this->switch_step_)) {
            progress.inherited_hold = report->held_step;
        }
        break;
    default:
        break;
    }
}

void map_rollout::check_timeouts(time_point now)
{
    this->advance(now); // a phase may be complete as soon as it begins
    const auto time_in_phase = now - this->phase_started_;
    switch (this->phase_) {
    case rollout_phase::fence:
    case rollout_phase::prepare:
    case rollout_phase::hold:
        if (time_in_phase > this->options_.prepare_timeout) {
            this->give_up(now);
        }
        break;
    case rollout_phase::seize:
        if (time_in_phase > this->options_.prepare_timeout) {
            this->restart_survey(now);
        }
        break;
    case rollout_phase::arm:
        if (time_in_phase > this->options_.arm_timeout) {
            this->give_up(now);
        }
        break;
    case rollout_phase::verify:
        // An idle group runs no steps, but all ranks are armed. A hold of another coordinator is
        // left to a rollout that surveys the group.
        if (time_in_phase > this->options_.verify_timeout ||
            (time_in_phase > this->options_.foreign_hold_timeout &&
             this->is_hold_of_another_seen())) {
            this->enter_phase(rollout_phase::done, now);
        }
        break;
    default:
        // The group is held. Its orders are sent again until each has been executed, because any
        // other way to lift the hold could let a step begin with two maps.
        break;
    }
}

std::vector<addressed_order> map_rollout::pending_orders() const
{
    std::vector<addressed_order> result;
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        if (auto order = this->order_for(rank)) {
            result.push_back({rank, *std::move(order)});
        }
    }
    return result;
}

std::vector<unsigned> map_rollout::ranks_to_poll() const
{
    std::vector<unsigned> result;
    for (unsigned rank = 0; rank < this->ranks_.size() && !this->is_over(); ++rank) {
        if (!this->is_confirmed(rank) && !this->order_for(rank)) {
            result.push_back(rank);
        }
    }
    return result;
}

void map_rollout::enter_phase(rollout_phase phase, time_point now)
{
    this->phase_ = phase;
    this->phase_started_ = now;
    ++this->round_;
    for (auto& progress : this->ranks_) {
        // The complete phase acts on the reports of the fence phase, which show what an earlier
        // coordinator left held.
        if (phase != rollout_phase::complete) {
            progress.report.reset();
        }
        progress.acknowledged = false;
    }
}

void map_rollout::restart_survey(time_point now)
{
    if (++this->attempts_ > this->options_.max_attempts) {
        this->enter_phase(rollout_phase::given_up, now);
        return;
    }
    this->enter_phase(rollout_phase::fence, now);
}

void map_rollout::note_order_latency(time_point now)
{
    if (this->phase_ == rollout_phase::fence || this->phase_ == rollout_phase::prepare) {
        this->order_latency_ = std::max(this->order_latency_, now - this->phase_started_);
    }
}

std::uint64_t map_rollout::latency_margin_steps(time_point now) const
{
    const auto steps = this->highest_known_step_ - this->first_known_step_.value_or(0);
    if (steps == 0 || !this->first_known_step_) {
        return 0; // an idle or held group does not reach the step of the switch
    }
    const auto step_time = (now - this->rollout_started_) / static_cast<duration::rep>(steps);
    if (step_time <= duration::zero()) {
        return 0;
    }
    return std::min(static_cast<std::uint64_t>(this->order_latency_ / step_time),
                    this->options_.max_latency_margin_steps);
}

void map_rollout::choose_switch_step(time_point now)
{
    if (++this->attempts_ > this->options_.max_attempts) {
        this->give_up(now);
        return;
    }
    const auto margin = this->options_.switch_margin_steps +
                        (this->unanswered_orders_ > 0 ? this->options_.retry_margin_steps : 0) +
                        this->latency_margin_steps(now);
    this->switch_step_ = std::max({this->highest_known_step_ + margin,
                                   this->options_.min_switch_step, this->switch_step_ + 1});
    this->enter_phase(rollout_phase::hold, now);
}

void map_rollout::advance(time_point now)
{
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        if (!this->is_confirmed(rank)) {
            return;
        }
    }
    switch (this->phase_) {
    case rollout_phase::fence:
        this->on_fenced_group(now);
        break;
    case rollout_phase::seize:
        this->enter_phase(rollout_phase::withdraw, now);
        break;
    case rollout_phase::prepare:
        this->choose_switch_step(now);
        break;
    case rollout_phase::hold:
        this->enter_phase(rollout_phase::arm, now);
        break;
    case rollout_phase::arm:
        this->enter_phase(rollout_phase::go, now);
        break;
    case rollout_phase::go:
        this->enter_phase(rollout_phase::verify, now);
        break;
    case rollout_phase::verify:
        this->enter_phase(rollout_phase::done, now);
        break;
    case rollout_phase::withdraw:
        this->enter_phase(rollout_phase::lift, now);
        break;
    case rollout_phase::complete:
    case rollout_phase::lift:
        this->enter_phase(rollout_phase::given_up, now);
        break;
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
}

void map_rollout::on_fenced_group(time_point now)
{
    bool is_any_armed = false;
    bool is_any_held = false;
    const auto first_armed = this->ranks_.front().report->armed_version;
    bool are_all_armed = first_armed.has_value();
    for (auto& it : this->ranks_) {
        it.inherited_hold = it.report->held_step;
        is_any_armed = is_any_armed || it.report->armed_version.has_value();
        is_any_held = is_any_held || it.report->held_step.has_value();
        are_all_armed = are_all_armed && it.report->armed_version == first_armed;
    }
    if (!is_any_armed && !is_any_held) {
        this->enter_phase(rollout_phase::prepare, now);
    }
    else if (are_all_armed && (this->options_.engines_check_tokens || !is_any_held)) {
        // Late orders of the earlier coordinator cannot interfere: either the ranks refuse its
        // token, or it has lifted its hold and sends nothing more.
        this->enter_phase(rollout_phase::complete, now);
    }
    else {
        this->begin_withdrawal(now);
    }
}

void map_rollout::begin_withdrawal(time_point now)
{
    // The earlier coordinator may have ordered to lift its hold, and that order may be executed
    // late. A hold of this coordinator, at another rank, keeps the group from beginning the step
    // while some ranks are disarmed.
    const auto holds = [this](unsigned rank) {
        return this->ranks_[rank].inherited_hold.has_value();
    };
    const auto count = static_cast<unsigned>(this->ranks_.size());
    for (unsigned n = 0; n < count && holds(this->holding_rank_); ++n) {
        this->holding_rank_ = (this->holding_rank_ + 1) % count;
    }
    std::optional<std::uint64_t> held_step;
    for (const auto& it : this->ranks_) {
        if (it.inherited_hold && (!held_step || *it.inherited_hold < *held_step)) {
            held_step = it.inherited_hold;
        }
    }
    this->switch_step_ =
        held_step.value_or(this->highest_known_step_ + this->options_.switch_margin_steps);
    this->enter_phase(holds(this->holding_rank_) ? rollout_phase::withdraw : rollout_phase::seize,
                      now);
}

void map_rollout::give_up(time_point now)
{
    if (this->phase_ == rollout_phase::arm) {
        this->enter_phase(rollout_phase::withdraw, now);
    }
    else if (this->phase_ == rollout_phase::hold) {
        this->enter_phase(rollout_phase::lift, now);
    }
    else {
        this->enter_phase(rollout_phase::given_up, now);
    }
}

bool map_rollout::is_newer_coordinator_active(const rank_report& report) const
{
    const auto newest = std::max({report.map_version, report.prepared_version.value_or(0),
                                  report.armed_version.value_or(0)});
    return newest > this->rollback_map_.map->version;
}

bool map_rollout::is_hold_of_another_seen() const
{
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        const auto& report = this->ranks_[rank].report;
        if (report && report->held_step && rank != this->holding_rank_) {
            return true;
        }
    }
    return false;
}

bool map_rollout::is_confirmed(unsigned rank) const
{
    const auto& progress = this->ranks_[rank];
    const bool is_holder = rank == this->holding_rank_;
    if (!progress.report) {
        switch (this->phase_) {
        case rollout_phase::seize:
        case rollout_phase::hold:
        case rollout_phase::go:
            return !is_holder;
        case rollout_phase::lift:
            return !is_holder && !progress.inherited_hold;
        default:
            return this->is_over();
        }
    }
    const auto& report = *progress.report;
    switch (this->phase_) {
    case rollout_phase::fence:
        return progress.acknowledged;
    case rollout_phase::complete:
        return !report.held_step;
    case rollout_phase::prepare:
        return report.prepared_version == this->target_.map->version && !report.held_step;
    case rollout_phase::seize:
    case rollout_phase::hold:
        return !is_holder || report.held_step == this->switch_step_;
    case rollout_phase::arm:
        return progress.acknowledged && report.armed_version == this->target_.map->version;
    case rollout_phase::go:
        return !is_holder || report.held_step != this->switch_step_;
    case rollout_phase::verify:
        return report.map_version == this->target_.map->version;
    case rollout_phase::withdraw:
        return !this->withdrawing_order(report);
    case rollout_phase::lift:
        return !report.held_step || (report.held_step != progress.inherited_hold &&
                                     !(is_holder && report.held_step == this->switch_step_));
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
    return true;
}

std::optional<rank_order> map_rollout::withdrawing_order(const rank_report& report) const
{
    if (report.armed_version) {
        return disarm_order{*report.armed_version};
    }
    if (report.prepared_version.value_or(0) < this->rollback_map_.map->version) {
        return this->rollback_map_;
    }
    return std::nullopt;
}

std::optional<rank_order> map_rollout::order_for(unsigned rank) const
{
    const auto& progress = this->ranks_[rank];
    if (this->is_over() || this->is_confirmed(rank)) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> held_step;
    if (progress.report) {
        held_step = progress.report->held_step;
    }
    switch (this->phase_) {
    case rollout_phase::fence:
        // This version is never armed, so the order only raises the token that the rank has seen,
        // even if it is executed late.
        return disarm_order{this->rollback_map_.map->version};
    case rollout_phase::complete:
        return release_hold_order{held_step.value_or(0)};
    case rollout_phase::prepare:
        if (held_step) {
            return release_hold_order{*held_step};
        }
        return progress.acknowledged ? std::nullopt : std::optional<rank_order>(this->target_);
    case rollout_phase::seize:
        return hold_order{this->switch_step_};
    case rollout_phase::hold:
        // A rank holds one step at a time. Another step is held by a late order of this
        // coordinator.
        return held_step ? rank_order(release_hold_order{*held_step})
                         : rank_order(hold_order{this->switch_step_});
    case rollout_phase::arm:
        return arm_order{this->target_.map->version, this->switch_step_};
    case rollout_phase::go:
        return release_hold_order{this->switch_step_};
    case rollout_phase::verify:
        // A hold order that was sent again may be executed after the hold was lifted.
        return rank == this->holding_rank_ && held_step
                   ? std::optional<rank_order>(release_hold_order{*held_step})
                   : std::nullopt;
    case rollout_phase::withdraw:
        return progress.report
                   ? this->withdrawing_order(*progress.report)
                   : std::optional<rank_order>(disarm_order{this->target_.map->version});
    case rollout_phase::lift:
        return release_hold_order{
            held_step.value_or(progress.inherited_hold.value_or(this->switch_step_))};
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
    return std::nullopt;
}

} // namespace medlaryoke::policy
