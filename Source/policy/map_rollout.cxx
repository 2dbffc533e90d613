#include "policy/map_rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlaryoke::policy {

namespace {

constexpr unsigned holding_rank = 0; ///< the only rank that is told to hold a step

} // namespace

std::string_view to_string(rollout_phase phase)
{
    constexpr std::array<std::string_view, 13> names{
        "fence",  "release", "prepare", "hold", "arm",      "go",  "verify",
        "disarm", "replace", "lift",    "done", "given_up", "lost"};
    return names.at(static_cast<std::size_t>(phase));
}

map_rollout::map_rollout(unsigned ranks, std::uint64_t epoch, expert_map target, expert_map current,
                         time_point now, rollout_options options)
    : options_(options), epoch_(epoch), target_(std::move(target)),
      rollback_map_(std::move(current)), ranks_(ranks), phase_started_(now)
{
    this->rollback_map_.version = this->target_.version + 1;
}

void map_rollout::on_reply(std::uint64_t round, unsigned rank,
                           const std::optional<rank_order>& order, order_result result,
                           const std::optional<rank_report>& report, time_point now)
{
    if (this->is_over()) {
        return;
    }
    if (result == order_result::fenced || (report && report->epoch != this->epoch_)) {
        this->phase_ = rollout_phase::lost;
        return;
    }
    this->unanswered_orders_ += result == order_result::unanswered ? 1 : 0;
    if (!report) {
        return;
    }
    this->highest_known_step_ = std::max(this->highest_known_step_, report->step);
    if (round != this->round_) {
        return;
    }
    auto& progress = this->ranks_[rank];
    progress.report = report;
    if (order && result == order_result::conflict) {
        this->handle_conflict(rank, *order, now);
    }
    else if (order && result == order_result::done) {
        progress.acknowledged = true;
    }
    this->advance(now);
}

void map_rollout::handle_conflict(unsigned rank, const rank_order& order, time_point now)
{
    switch (this->phase_) {
    case rollout_phase::prepare:
    case rollout_phase::replace:
        // An earlier copy of the order may have been executed without an answer reaching this
        // coordinator. The reported state shows whether it was.
        this->ranks_[rank].acknowledged = true;
        break;
    case rollout_phase::hold:
        this->choose_switch_step(now); // the step has already begun
        break;
    case rollout_phase::arm:
        if (this->ranks_[rank].report->armed_version != this->target_.version) {
            this->give_up(now);
        }
        break;
    case rollout_phase::disarm:
        if (std::holds_alternative<disarm_order>(order) &&
            this->ranks_[rank].report->map_version == this->target_.version) {
            this->enter_phase(rollout_phase::verify, now); // the step of the switch has begun
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
    const bool is_before_arming = this->phase_ == rollout_phase::fence ||
                                  this->phase_ == rollout_phase::prepare ||
                                  this->phase_ == rollout_phase::hold;
    const bool is_arming = this->phase_ == rollout_phase::arm;
    if ((is_before_arming && time_in_phase > this->options_.prepare_timeout) ||
        (is_arming && time_in_phase > this->options_.arm_timeout)) {
        this->give_up(now);
    }
    else if (this->phase_ == rollout_phase::verify &&
             time_in_phase > this->options_.verify_timeout) {
        // An idle group runs no steps, but all ranks are armed.
        this->enter_phase(rollout_phase::done, now);
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
        // The release phase acts on the reports of the fence phase, which show what an earlier
        // coordinator left armed or held.
        if (phase != rollout_phase::release) {
            progress.report.reset();
        }
        progress.acknowledged = false;
    }
}

void map_rollout::choose_switch_step(time_point now)
{
    const auto margin = this->options_.switch_margin_steps +
                        (this->unanswered_orders_ > 0 ? this->options_.retry_margin_steps : 0);
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
    case rollout_phase::release:
        this->enter_phase(rollout_phase::given_up, now);
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
    case rollout_phase::disarm:
        this->enter_phase(rollout_phase::replace, now);
        break;
    case rollout_phase::replace:
        this->enter_phase(rollout_phase::lift, now);
        break;
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
    const auto is_held = [](const rank_progress& it) { return it.report->held_step.has_value(); };
    if (!this->is_any_rank_armed() && std::ranges::none_of(this->ranks_, is_held)) {
        this->enter_phase(rollout_phase::prepare, now);
        return;
    }
    // If every rank is armed for the same version, the earlier switch is completed. Otherwise every
    // armed rank is disarmed. Orders of the earlier coordinator that are still in transit cannot
    // interfere, because the ranks now refuse its token.
    const auto armed = this->ranks_.front().report->armed_version;
    this->completes_earlier_switch_ =
        armed && std::ranges::all_of(this->ranks_, [armed](const rank_progress& it) {
            return it.report->armed_version == armed;
        });
    this->enter_phase(rollout_phase::release, now);
}

void map_rollout::give_up(time_point now)
{
    if (this->phase_ == rollout_phase::arm) {
        this->enter_phase(rollout_phase::disarm, now);
    }
    else if (this->phase_ == rollout_phase::hold) {
        this->enter_phase(rollout_phase::lift, now);
    }
    else {
        this->enter_phase(rollout_phase::given_up, now);
    }
}

bool map_rollout::is_any_rank_armed() const
{
    return std::ranges::any_of(this->ranks_, [](const rank_progress& it) {
        return it.report && it.report->armed_version.has_value();
    });
}

bool map_rollout::is_confirmed(unsigned rank) const
{
    const auto& progress = this->ranks_[rank];
    if (!progress.report) {
        const bool only_holding_rank_confirms = this->phase_ == rollout_phase::hold ||
                                                this->phase_ == rollout_phase::go ||
                                                this->phase_ == rollout_phase::lift;
        return only_holding_rank_confirms && rank != holding_rank;
    }
    const auto& report = *progress.report;
    switch (this->phase_) {
    case rollout_phase::fence:
        return progress.acknowledged;
    case rollout_phase::release:
        return (this->completes_earlier_switch_ || !report.armed_version) && !report.held_step;
    case rollout_phase::prepare:
        return report.prepared_version == this->target_.version;
    case rollout_phase::hold:
        return rank != holding_rank || report.held_step == this->switch_step_;
    case rollout_phase::arm:
        return progress.acknowledged && report.armed_version == this->target_.version;
    case rollout_phase::go:
    case rollout_phase::lift:
        return rank != holding_rank || report.held_step != this->switch_step_;
    case rollout_phase::verify:
        return report.map_version == this->target_.version;
    case rollout_phase::disarm:
        return progress.acknowledged && !report.armed_version;
    case rollout_phase::replace:
        return report.prepared_version == this->rollback_map_.version;
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
    return true;
}

std::optional<rank_order> map_rollout::order_for(unsigned rank) const
{
    const auto& progress = this->ranks_[rank];
    if (this->is_over() || this->is_confirmed(rank)) {
        return std::nullopt;
    }
    switch (this->phase_) {
    case rollout_phase::fence:
        // This version is never armed, so the order only raises the token that the rank has seen,
        // even if it is executed late.
        return disarm_order{this->rollback_map_.version};
    case rollout_phase::release:
        if (this->is_any_rank_armed() && !this->completes_earlier_switch_) {
            return progress.report->armed_version
                       ? std::optional<rank_order>(disarm_order{*progress.report->armed_version})
                       : std::nullopt;
        }
        return release_hold_order{progress.report->held_step.value_or(0)};
    case rollout_phase::prepare:
        return progress.acknowledged ? std::nullopt
                                     : std::optional<rank_order>(prepare_order{this->target_});
    case rollout_phase::hold:
        return hold_order{this->switch_step_};
    case rollout_phase::arm:
        return arm_order{this->target_.version, this->switch_step_};
    case rollout_phase::go:
    case rollout_phase::lift:
        return release_hold_order{this->switch_step_};
    case rollout_phase::disarm:
        return disarm_order{this->target_.version};
    case rollout_phase::replace:
        return progress.acknowledged
                   ? std::nullopt
                   : std::optional<rank_order>(prepare_order{this->rollback_map_});
    default:
        return std::nullopt;
    }
}

} // namespace medlaryoke::policy
