#include "policy/rollout_run.h"

#include <algorithm>
#include <chrono>
#include <utility>

using namespace std::chrono_literals;

namespace medlaryoke::policy {

namespace {

constexpr auto tick = 20ms;
constexpr auto step_duration = 60ms;
constexpr auto order_resend_interval = 120ms;
constexpr auto rollout_poll_interval = 60ms;
constexpr auto poll_interval = 200ms;
constexpr auto idle_time = 2s;

} // namespace

rollout_run::rollout_run(unsigned rank_count, bool checks_tokens, run_faults faults)
    : group_(rank_count, checks_tokens), agent_tokens_(rank_count), checks_tokens_(checks_tokens),
      faults_(std::move(faults))
{
    this->coordinators_.push_back(std::make_unique<coordinator>());
    this->coordinators_.back()->token = 1;
}

void rollout_run::run(duration length)
{
    for (const auto end = this->now_ + length; this->now_ < end; this->now_ += tick) {
        const auto elapsed = this->now_ - this->started_;
        const auto& crash_at = this->faults_.crash_at;
        if (this->coordinators_.size() == 1 && crash_at &&
            elapsed >= *crash_at + this->faults_.takeover_time) {
            this->coordinators_.push_back(std::make_unique<coordinator>());
            this->coordinators_.back()->token = 2;
        }
        const bool is_idle = this->faults_.idle_at && elapsed >= *this->faults_.idle_at &&
                             elapsed < *this->faults_.idle_at + idle_time;
        if (!is_idle && elapsed % step_duration < tick) {
            this->maps_agreed_ = this->group_.begin_step() && this->maps_agreed_;
            this->longest_hold_ =
                std::max<duration>(this->longest_hold_, this->group_.held_steps * step_duration);
        }
        this->deliver_late();
        for (std::size_t n = 0; n < this->coordinators_.size(); ++n) {
            const bool is_crashed =
                n == 0 && crash_at && elapsed >= *crash_at &&
                !(this->faults_.crash_is_freeze && this->coordinators_.size() > 1);
            if (!is_crashed) {
                this->drive(*this->coordinators_[n]);
            }
        }
    }
}

bool rollout_run::is_settled() const
{
    const bool any_rollout = std::ranges::any_of(
        this->coordinators_, [](const auto& it) { return it->rollout != nullptr; });
    const auto condition = assess_group(this->group_.reports(), 0, false);
    return this->group_.held_steps == 0 && condition == group_condition::clear &&
           (!any_rollout || this->coordinators_.size() > 1);
}

void rollout_run::drive(coordinator& it)
{
    if (!it.rollout) {
        this->start_rollout(it);
    }
    if (!it.rollout) {
        return;
    }
    it.rollout->check_timeouts(this->now_);
    const bool is_new_round =
        std::exchange(it.sent_round, it.rollout->round()) != it.rollout->round();
    if (is_new_round || this->now_ >= it.next_send) {
        it.next_send = this->now_ + order_resend_interval;
        for (const auto& order : it.rollout->pending_orders()) {
            this->send(it, order.rank, order.order);
        }
    }
    if (is_new_round || this->now_ >= it.next_poll) {
        it.next_poll = this->now_ + rollout_poll_interval;
        for (const auto rank : it.rollout->ranks_to_poll()) {
            it.rollout->on_reply(it.rollout->round(), rank, std::nullopt, order_result::done,
                                 this->group_.report(rank), this->now_);
        }
    }
    if (it.rollout->is_over()) {
        const bool is_done = it.rollout->phase() == rollout_phase::done;
        this->switches_ += is_done ? 1 : 0;
        it.is_surveyed = it.rollout->phase() != rollout_phase::lost;
        it.highest_held_step = std::max(it.highest_held_step, it.rollout->step());
        it.next_start =
            it.rollout->is_superseded() ? time_point::max() : this->now_ + poll_interval;
        it.rollout.reset();
    }
}

void rollout_run::start_rollout(coordinator& it)
{
    if (this->now_ < it.next_start) {
        return;
    }
    it.next_start = this->now_ + poll_interval;
    rollout_options options;
    const auto ranks = static_cast<unsigned>(this->group_.ranks.size());
    options.holding_rank = static_cast<unsigned>(it.token % ranks);
    options.engines_check_tokens = this->checks_tokens_;
    options.is_surveyed = it.is_surveyed;
    options.min_switch_step = it.highest_held_step + 1;
    const auto reports = this->group_.reports();
    switch (assess_group(reports, options.holding_rank, it.is_surveyed)) {
    case group_condition::switch_pending:
        return;
    case group_condition::clear:
        if (it.optional_switches_left == 0) {
            return;
        }
        --it.optional_switches_left;
        break;
    case group_condition::own_late_hold:
        options.own_late_hold = reports[options.holding_rank].held_step;
        break;
    case group_condition::unfinished_switch:
        options.is_surveyed = false;
        break;
    }
    const expert_map target{it.token * 1000 + 2 * ++it.proposals, {}};
    it.rollout = std::make_unique<map_rollout>(ranks, this->group_.epoch, target, expert_map{},
                                               this->now_, options);
    it.sent_round = it.rollout->round();
    it.next_send = {};
    it.next_poll = {};
}

void rollout_run::send(coordinator& it, unsigned rank, const rank_order& order)
{
    const auto round = it.rollout->round();
    if (it.rollout->is_over()) {
        return;
    }
    if (it.token < this->agent_tokens_[rank]) {
        it.rollout->on_reply(round, rank, order, order_result::fenced, std::nullopt, this->now_);
        return;
    }
    this->agent_tokens_[rank] = it.token;
    const auto number = this->order_count_++;
    const auto fault = std::ranges::find(this->faults_.orders, number, &order_fault::order);
    auto result = order_result::unanswered;
    if (fault == this->faults_.orders.end() || fault->kind == order_fault_kind::unanswered) {
        result = this->group_.handle_order(rank, it.token, it.rollout->epoch(), order);
    }
    else if (fault->kind == order_fault_kind::late) {
        this->late_.push_back(
            {this->now_ + fault->delay, rank, it.token, it.rollout->epoch(), order});
    }
    if (fault != this->faults_.orders.end()) {
        result = order_result::unanswered;
    }
    it.rollout->on_reply(round, rank, order, result, this->group_.report(rank), this->now_);
    // The product sends the next order to a rank as soon as the last one has been executed.
    if (result == order_result::done && !it.rollout->is_over() && round == it.rollout->round()) {
        if (const auto next = it.rollout->pending_order(rank); next && *next != order) {
            this->send(it, rank, *next);
        }
    }
}

void rollout_run::deliver_late()
{
    for (const auto& it : this->late_) {
        if (it.delivery_time <= this->now_) {
            this->group_.handle_order(it.rank, it.token, it.epoch, it.order);
        }
    }
    std::erase_if(this->late_, [this](const auto& it) { return it.delivery_time <= this->now_; });
}

} // namespace medlaryoke::policy
