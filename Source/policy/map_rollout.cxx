#include "policy/map_rollout.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlaryoke::policy {

namespace {

constexpr unsigned holder = 0; ///< the rank that is told to hold the group

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
    : options_(options), epoch_(epoch), target_(std::move(target)), fallback_(std::move(current)),
      ranks_(ranks), phase_started_(now)
{
    this->fallback_.version = this->target_.version + 1;
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
    this->unanswered_ += result == order_result::unanswered ? 1 : 0;
    if (!report) {
        return;
    }
    this->newest_step_ = std::max(this->newest_step_, report->step);
    if (round != this->round_) {
        return;
    }
    auto& view = this->ranks_[rank];
    view.report = report;
    if (order && result == order_result::conflict) {
        this->on_conflict(rank, *order, now);
    }
    else if (order && result == order_result::done) {
        view.acknowledged = true;
    }
    this->advance(now);
}

void map_rollout::on_conflict(unsigned rank, const rank_order& order, time_point now)
{
    switch (this->phase_) {
    case rollout_phase::prepare:
    case rollout_phase::replace:
        // The order may have been obeyed before, unanswered; the state tells.
        this->ranks_[rank].acknowledged = true;
        break;
    case rollout_phase::hold:
        this->choose_step(now); // the pass has begun
        break;
    case rollout_phase::arm:
        if (this->ranks_[rank].report->armed != this->target_.version) {
            this->give_up(now);
        }
        break;
    case rollout_phase::disarm:
        if (std::holds_alternative<disarm_order>(order) &&
            this->ranks_[rank].report->map == this->target_.version) {
            this->enter(rollout_phase::verify, now); // the pass of the switch has begun
        }
        break;
    default:
        break;
    }
}

void map_rollout::on_time(time_point now)
{
    this->advance(now); // a phase may have nothing left to do when it begins
    const auto spent = now - this->phase_started_;
    const bool waits_for_copies = this->phase_ == rollout_phase::fence ||
                                  this->phase_ == rollout_phase::prepare ||
                                  this->phase_ == rollout_phase::hold;
    const bool waits_for_arming = this->phase_ == rollout_phase::arm;
    if ((waits_for_copies && spent > this->options_.prepare_timeout) ||
        (waits_for_arming && spent > this->options_.arm_timeout)) {
        this->give_up(now);
    }
    else if (this->phase_ == rollout_phase::verify && spent > this->options_.verify_timeout) {
        this->enter(rollout_phase::done, now); // an idle group makes no passes; all are armed
    }
}

std::vector<addressed_order> map_rollout::orders() const
{
    std::vector<addressed_order> list;
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        if (auto order = this->order_for(rank)) {
            list.push_back({rank, *std::move(order)});
        }
    }
    return list;
}

std::vector<unsigned> map_rollout::polls() const
{
    std::vector<unsigned> list;
    for (unsigned rank = 0; rank < this->ranks_.size() && !this->is_over(); ++rank) {
        if (!this->is_confirmed(rank) && !this->order_for(rank)) {
            list.push_back(rank);
        }
    }
    return list;
}

void map_rollout::enter(rollout_phase phase, time_point now)
{
    this->phase_ = phase;
    this->phase_started_ = now;
    ++this->round_;
    for (auto& view : this->ranks_) {
        // What an earlier coordinator left is known from the fence and updated by the release.
        if (phase != rollout_phase::release) {
            view.report.reset();
        }
        view.acknowledged = false;
    }
}

void map_rollout::choose_step(time_point now)
{
    const auto margin = this->options_.margin_steps +
                        (this->unanswered_ > 0 ? this->options_.trouble_margin_steps : 0);
    this->step_ =
        std::max({this->newest_step_ + margin, this->options_.least_step, this->step_ + 1});
    this->enter(rollout_phase::hold, now);
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
        this->after_fence(now);
        break;
    case rollout_phase::release:
        this->enter(rollout_phase::given_up, now);
        break;
    case rollout_phase::prepare:
        this->choose_step(now);
        break;
    case rollout_phase::hold:
        this->enter(rollout_phase::arm, now);
        break;
    case rollout_phase::arm:
        this->enter(rollout_phase::go, now);
        break;
    case rollout_phase::go:
        this->enter(rollout_phase::verify, now);
        break;
    case rollout_phase::verify:
        this->enter(rollout_phase::done, now);
        break;
    case rollout_phase::disarm:
        this->enter(rollout_phase::replace, now);
        break;
    case rollout_phase::replace:
        this->enter(rollout_phase::lift, now);
        break;
    case rollout_phase::lift:
        this->enter(rollout_phase::given_up, now);
        break;
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
}

void map_rollout::after_fence(time_point now)
{
    const auto is_held = [](const rank_view& it) { return it.report->held.has_value(); };
    if (!this->any_armed() && std::ranges::none_of(this->ranks_, is_held)) {
        this->enter(rollout_phase::prepare, now);
        return;
    }
    // If every rank is armed for the same switch, it can only go on together; otherwise nobody may
    // switch. Orders of the earlier coordinator that are still on their way are refused now.
    const auto armed = this->ranks_.front().report->armed;
    this->finishes_stale_ =
        armed && std::ranges::all_of(this->ranks_, [armed](const rank_view& it) {
            return it.report->armed == armed;
        });
    this->enter(rollout_phase::release, now);
}

void map_rollout::give_up(time_point now)
{
    if (this->phase_ == rollout_phase::arm) {
        this->enter(rollout_phase::disarm, now);
    }
    else if (this->phase_ == rollout_phase::hold) {
        this->enter(rollout_phase::lift, now);
    }
    else {
        this->enter(rollout_phase::given_up, now);
    }
}

bool map_rollout::any_armed() const
{
    return std::ranges::any_of(this->ranks_, [](const rank_view& it) {
        return it.report && it.report->armed.has_value();
    });
}

bool map_rollout::is_confirmed(unsigned rank) const
{
    const auto& view = this->ranks_[rank];
    if (!view.report) {
        const bool only_holder = this->phase_ == rollout_phase::hold ||
                                 this->phase_ == rollout_phase::go ||
                                 this->phase_ == rollout_phase::lift;
        return only_holder && rank != holder;
    }
    const auto& report = *view.report;
    switch (this->phase_) {
    case rollout_phase::fence:
        return view.acknowledged;
    case rollout_phase::release:
        return (this->finishes_stale_ || !report.armed) && !report.held;
    case rollout_phase::prepare:
        return report.prepared == this->target_.version;
    case rollout_phase::hold:
        return rank != holder || report.held == this->step_;
    case rollout_phase::arm:
        return view.acknowledged && report.armed == this->target_.version;
    case rollout_phase::go:
    case rollout_phase::lift:
        return rank != holder || report.held != this->step_;
    case rollout_phase::verify:
        return report.map == this->target_.version;
    case rollout_phase::disarm:
        return view.acknowledged && !report.armed;
    case rollout_phase::replace:
        return report.prepared == this->fallback_.version;
    case rollout_phase::done:
    case rollout_phase::given_up:
    case rollout_phase::lost:
        break;
    }
    return true;
}

std::optional<rank_order> map_rollout::order_for(unsigned rank) const
{
    const auto& view = this->ranks_[rank];
    if (this->is_over() || this->is_confirmed(rank)) {
        return std::nullopt;
    }
    switch (this->phase_) {
    case rollout_phase::fence:
        // Of a version that is never armed, so that it changes nothing but the token seen, also if
        // it is carried out late.
        return disarm_order{this->fallback_.version};
    case rollout_phase::release:
        if (this->any_armed() && !this->finishes_stale_) {
            return view.report->armed ? std::optional<rank_order>(disarm_order{*view.report->armed})
                                      : std::nullopt;
        }
        return go_order{view.report->held.value_or(0)};
    case rollout_phase::prepare:
        return view.acknowledged ? std::nullopt
                                 : std::optional<rank_order>(prepare_order{this->target_});
    case rollout_phase::hold:
        return hold_order{this->step_};
    case rollout_phase::arm:
        return arm_order{this->target_.version, this->step_};
    case rollout_phase::go:
    case rollout_phase::lift:
        return go_order{this->step_};
    case rollout_phase::disarm:
        return disarm_order{this->target_.version};
    case rollout_phase::replace:
        return view.acknowledged ? std::nullopt
                                 : std::optional<rank_order>(prepare_order{this->fallback_});
    default:
        return std::nullopt;
    }
}

} // namespace medlaryoke::policy
