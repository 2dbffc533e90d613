#include "experts/group_balancer.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace medlaryoke::experts {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(20);

// A report that is older no longer describes the current state of the group.
constexpr auto max_report_age = std::chrono::milliseconds(1500);

// A slice takes less than a millisecond for 72 ranks, so that the thread can serve requests between
// slices.
constexpr unsigned search_iterations_per_slice = 16;

// The upper bits of a map version hold the fencing token, so that no two coordinators use the same
// version. Each proposed map takes two sequence numbers: one for the map itself and one for the map
// that replaces it if the switch is abandoned.
constexpr unsigned sequence_bits = 20;

// Keeps the doubled pause within its type; the longest pause is limited by balancer_options.
constexpr unsigned max_pause_doublings = 10;

} // namespace

group_balancer::group_balancer(transport::runtime& context, const clock_source& clock,
                               std::string name, const policy::group_shape& shape,
                               std::vector<rank_address> ranks, const engine_factory& open_engine,
                               duration report_lag, balancer_options options)
    : context_(context), clock_(clock), name_(std::move(name)), shape_(shape),
      addresses_(std::move(ranks)), options_(options),
      loads_(shape.sets, std::vector<double>(shape.experts))
{
    for (const auto& address : this->addresses_) {
        rank_state rank;
        rank.link = std::make_shared<rank_link>(context, clock, address.agent,
                                                open_engine(address.engine), report_lag);
        this->ranks_.push_back(std::move(rank));
    }
}

void group_balancer::start(std::uint64_t token)
{
    this->token_ = token;
    this->log_.note(log_level::info, "coordinating",
                    {{"group", this->name_}, {"token", static_cast<std::int64_t>(token)}});
    this->tick();
}

void group_balancer::stop()
{
    this->stopped_ = true;
    if (this->rollout_ && !this->fenced_) {
        this->keep_alive_ = this->shared_from_this();
    }
}

void group_balancer::tick()
{
    const auto alive = this->shared_from_this(); // keep_alive_ may be the last reference
    if (this->fenced_ || (this->stopped_ && !this->rollout_)) {
        this->keep_alive_.reset();
        return;
    }
    // Before the work, so that a failure does not end the ticks while the group is held.
    this->context_.after(tick_interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    const auto now = this->clock_.now();
    this->check_hold();
    if (this->rollout_) {
        this->advance_rollout();
    }
    else if (now >= this->next_poll_) {
        this->next_poll_ = now + this->options_.poll_interval;
        this->poll_ranks();
    }
}

void group_balancer::poll_ranks()
{
    this->searched_since_poll_ = false;
    for (auto& set : this->loads_) {
        std::ranges::for_each(set, [this](double& it) { it *= this->options_.count_retention; });
    }
    const auto stride =
        std::max(1U, (this->shape_.ranks + this->options_.ranks_counted_per_poll - 1) /
                         std::max(this->options_.ranks_counted_per_poll, 1U));
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        if (std::exchange(this->ranks_[rank].poll_pending, true)) {
            continue;
        }
        rank_request request;
        request.token = this->token_;
        request.with_counts = rank % stride == 0;
        request.with_experts = !this->current_;
        this->pending_count_replies_ += request.with_counts ? 1 : 0;
        this->ranks_[rank].link->send(request,
                                      [weak = this->weak_from_this(), rank,
                                       with_counts = request.with_counts](const auto& reply) {
                                          if (const auto self = weak.lock()) {
                                              self->on_poll_reply(rank, with_counts, reply);
                                          }
                                      });
    }
}

const rank_reply& group_balancer::checked(unsigned rank, const rank_reply& reply)
{
    static const rank_reply unanswered{policy::order_result::unanswered, {}, {}, {}};
    const auto& report = reply.report;
    if (!report || (report->group == this->name_ && report->rank == rank &&
                    report->size == this->shape_.ranks)) {
        return reply;
    }
    this->log_.sample(log_level::warning, "another engine answers for a rank",
                      {{"group", this->name_},
                       {"rank", static_cast<std::int64_t>(rank)},
                       {"address", this->addresses_[rank].engine},
                       {"reported_group", report->group},
                       {"reported_rank", static_cast<std::int64_t>(report->rank)},
                       {"reported_size", static_cast<std::int64_t>(report->size)}});
    return unanswered;
}

void group_balancer::on_poll_reply(unsigned rank, bool with_counts, const rank_reply& received)
{
    const auto& reply = this->checked(rank, received);
    auto& it = this->ranks_[rank];
    it.poll_pending = false;
    this->pending_count_replies_ -= with_counts ? 1 : 0;
    if (reply.report) {
        it.report = reply.report;
        it.reported_at = this->clock_.now();
        it.experts = reply.experts ? reply.experts : it.experts;
        if (reply.counts) {
            this->add_counts(it, *reply.counts);
        }
    }
    // A search on the counts of some ranks only would fit the map to the requests of these ranks.
    if (this->pending_count_replies_ > 0 || this->stopped_ || this->rollout_ || this->search_) {
        return;
    }
    const auto state = this->consistent_report();
    if (!state) {
        return;
    }
    this->update_current(*state);
    if (!this->current_) {
        return;
    }
    const bool is_clear = !state->armed_version && !state->held_step; // on all ranks
    const auto condition = is_clear ? policy::group_condition::clear : this->group_condition();
    if (condition == policy::group_condition::switch_pending) {
        return; // the group is idle and switches when it runs its next steps
    }
    const auto now = this->clock_.now();
    if (condition != policy::group_condition::clear) {
        if (now >= this->next_cleanup_) {
            this->begin_rollout(*this->current_, condition);
        }
        return;
    }
    if (now < this->next_rollout_ || std::exchange(this->searched_since_poll_, true)) {
        return;
    }
    // While an agent is bypassed, the delayed reports of its rank would make the group wait at the
    // step of the switch.
    const bool all_agents_responsive = std::ranges::none_of(
        this->ranks_, [](const auto& other) { return other.link->is_agent_unresponsive(); });
    if (all_agents_responsive) {
        this->start_search(*state);
    }
}

void group_balancer::add_counts(rank_state& rank, const std::vector<std::uint64_t>& counts)
{
    const auto size = std::size_t{this->shape_.sets} * this->shape_.experts;
    if (counts.size() != size) {
        this->log_.sample(log_level::warning, "counts of another size",
                          {{"group", this->name_},
                           {"expected", static_cast<std::int64_t>(size)},
                           {"got", static_cast<std::int64_t>(counts.size())}});
        return;
    }
    if (rank.counts && rank.counts->size() == size) {
        for (std::size_t n = 0; n < size; ++n) {
            // The engine counts from zero again after a restart.
            const auto before = (*rank.counts)[n] <= counts[n] ? (*rank.counts)[n] : 0;
            this->loads_[n / this->shape_.experts][n % this->shape_.experts] +=
                static_cast<double>(counts[n] - before);
        }
    }
    rank.counts = counts;
}

std::optional<policy::rank_report> group_balancer::consistent_report() const
{
    const auto now = this->clock_.now();
    std::optional<policy::rank_report> common;
    for (const auto& it : this->ranks_) {
        if (!it.report || now - it.reported_at > max_report_age || !it.report->is_group_complete) {
            return std::nullopt;
        }
        if (!common) {
            common = it.report;
            continue;
        }
        if (it.report->epoch != common->epoch || it.report->map_version != common->map_version) {
            return std::nullopt; // some reports are older than the last change
        }
        common->armed_version =
            common->armed_version ? common->armed_version : it.report->armed_version;
        common->held_step = common->held_step ? common->held_step : it.report->held_step;
        common->step = std::max(common->step, it.report->step);
    }
    return common;
}

policy::group_condition group_balancer::group_condition() const
{
    std::vector<policy::rank_report> reports;
    std::ranges::transform(this->ranks_, std::back_inserter(reports),
                           [](const rank_state& it) { return *it.report; });
    return policy::assess_group(reports, this->holding_rank(),
                                this->surveyed_epoch_ == reports.front().epoch);
}

unsigned group_balancer::holding_rank() const
{
    return static_cast<unsigned>(this->token_ % this->shape_.ranks);
}

void group_balancer::check_hold()
{
    // A held step that lies ahead does not hold the group yet.
    std::uint64_t step = 0;
    std::optional<std::uint64_t> held_step;
    for (const auto& it : this->ranks_) {
        if (!it.report) {
            continue;
        }
        step = std::max(step, it.report->step);
        if (it.report->held_step) {
            held_step = std::min(held_step.value_or(*it.report->held_step), *it.report->held_step);
        }
    }
    if (!held_step || step + 1 < *held_step) {
        this->held_since_.reset();
        this->is_hold_reported_ = false;
        return;
    }
    const auto now = this->clock_.now();
    this->held_since_ = this->held_since_.value_or(now);
    if (now - *this->held_since_ <= this->options_.hold_limit ||
        std::exchange(this->is_hold_reported_, true)) {
        return;
    }
    ++this->long_holds_;
    const auto phase = this->rollout_ ? policy::to_string(this->rollout_->phase()) : "none";
    this->log_.note(log_level::error, "group held for too long",
                    {{"group", this->name_},
                     {"step", static_cast<std::int64_t>(*held_step)},
                     {"phase", phase},
                     {"limit_ms", static_cast<std::int64_t>(
                                      std::chrono::duration_cast<std::chrono::milliseconds>(
                                          this->options_.hold_limit)
                                          .count())}});
}

void group_balancer::update_current(const policy::rank_report& state)
{
    if (this->current_ && this->current_->version == state.map_version &&
        this->current_epoch_ == state.epoch) {
        return;
    }
    this->current_.reset();
    if (state.map_version == 0) {
        this->current_ = policy::initial_map(this->shape_);
        this->current_epoch_ = state.epoch;
        return;
    }
    // An earlier coordinator made the map: rebuild it from the experts that the ranks report.
    policy::expert_map map{state.map_version,
                           std::vector<policy::set_placement>(
                               this->shape_.sets, policy::set_placement(this->shape_.ranks))};
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        const auto& experts = this->ranks_[rank].experts;
        if (!experts || experts->version != state.map_version || !this->fits_shape(*experts)) {
            return;
        }
        for (unsigned set = 0; set < this->shape_.sets; ++set) {
            map.sets[set][rank] = experts->sets[set];
        }
    }
    this->current_ = std::move(map);
    this->current_epoch_ = state.epoch;
}

bool group_balancer::fits_shape(const held_experts& held) const
{
    const auto fits = [this](const std::vector<unsigned>& experts) {
        return experts.size() <= this->shape_.max_experts_per_set &&
               std::ranges::all_of(experts,
                                   [this](unsigned it) { return it < this->shape_.experts; });
    };
    const bool is_fit =
        held.sets.size() == this->shape_.sets && std::ranges::all_of(held.sets, fits);
    if (!is_fit) {
        this->log_.sample(log_level::warning, "experts of a rank do not fit its group",
                          {{"group", this->name_}});
    }
    return is_fit;
}

void group_balancer::start_search(const policy::rank_report& state)
{
    const bool has_enough_tokens = std::ranges::all_of(this->loads_, [this](const auto& set) {
        return std::accumulate(set.begin(), set.end(), 0.0) >= this->options_.min_tokens_per_set;
    });
    if (!has_enough_tokens || state.epoch != this->current_epoch_) {
        return;
    }
    policy::map_search_options options;
    options.min_gain = this->options_.min_gain;
    options.max_copies_per_rank = this->shape_.max_copies_per_set * this->shape_.sets;
    if (this->shape_.copy_time_per_expert > duration::zero()) {
        const auto affordable = this->options_.copy_time_budget / this->shape_.copy_time_per_expert;
        options.max_copies_per_rank = static_cast<unsigned>(std::clamp<duration::rep>(
            affordable, 1, static_cast<duration::rep>(options.max_copies_per_rank)));
    }
    this->search_.emplace(this->shape_, *this->current_, this->loads_, this->rank_slowdowns(),
                          options);
    this->continue_search();
}

void group_balancer::continue_search()
{
    if (!this->search_) {
        return;
    }
    if (this->stopped_ || this->fenced_ || this->rollout_) {
        this->search_.reset();
        return;
    }
    for (unsigned n = 0; n < search_iterations_per_slice; ++n) {
        if (!this->search_->improve_once()) {
            this->finish_search();
            return;
        }
    }
    this->context_.after(this->options_.search_slice_interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->continue_search();
        }
    });
}

double group_balancer::relative_step_time(double skew) const
{
    return 1 - this->options_.expert_work_fraction + this->options_.expert_work_fraction * skew;
}

std::vector<double> group_balancer::rank_slowdowns() const
{
    std::vector<double> slowdowns;
    std::ranges::transform(this->ranks_, std::back_inserter(slowdowns), [](const rank_state& it) {
        return it.report ? it.report->slowdown : 1.0;
    });
    return slowdowns;
}

void group_balancer::finish_search()
{
    auto target = this->search_->map();
    const auto copies = this->search_->copies();
    const auto before = this->relative_step_time(this->search_->initial_mean_skew());
    const auto after = this->relative_step_time(this->search_->mean_skew());
    this->search_.reset();
    const auto saving = 1 - after / before;
    const bool worthwhile = copies > 0 && saving >= this->options_.min_work_reduction;
    this->log_.sample(log_level::info, worthwhile ? "better placement" : "placement kept",
                      {{"group", this->name_},
                       {"work_before", before},
                       {"work_after", after},
                       {"slowest_pace", std::ranges::max(this->rank_slowdowns())},
                       {"copies", static_cast<std::int64_t>(copies)}});
    if (worthwhile) {
        this->begin_rollout(std::move(target), policy::group_condition::clear);
    }
}

void group_balancer::begin_rollout(policy::expert_map target, policy::group_condition condition)
{
    target.version = (this->token_ << sequence_bits) + 2 * ++this->proposal_count_;
    policy::rollout_options options;
    options.min_switch_step = this->highest_held_step_ + 1;
    options.holding_rank = this->holding_rank();
    options.engines_check_tokens = this->options_.engines_check_tokens;
    options.is_surveyed = this->surveyed_epoch_ == this->current_epoch_ &&
                          condition != policy::group_condition::unfinished_switch;
    if (condition == policy::group_condition::own_late_hold) {
        options.own_late_hold = this->ranks_[this->holding_rank()].report->held_step;
    }
    this->rollout_started_ = this->clock_.now();
    ++this->rollout_sequence_;
    this->rollout_ = std::make_unique<policy::map_rollout>(this->shape_.ranks, this->current_epoch_,
                                                           std::move(target), *this->current_,
                                                           this->rollout_started_, options);
    this->started_round_ = this->rollout_->round();
    this->next_order_send_ = {};
    this->advance_rollout();
}

void group_balancer::advance_rollout()
{
    const auto now = this->clock_.now();
    this->rollout_->check_timeouts(now);
    if (this->rollout_->is_over()) {
        this->end_rollout();
        return;
    }
    const bool new_round =
        std::exchange(this->started_round_, this->rollout_->round()) != this->rollout_->round();
    if (new_round) {
        this->log_.note(log_level::info, "switch of maps",
                        {{"group", this->name_},
                         {"phase", policy::to_string(this->rollout_->phase())},
                         {"version", static_cast<std::int64_t>(this->rollout_->target().version)},
                         {"step", static_cast<std::int64_t>(this->rollout_->step())}});
    }
    if (new_round || now >= this->next_order_send_) {
        this->next_order_send_ = now + this->options_.order_resend_interval;
        for (const auto& order : this->rollout_->pending_orders()) {
            this->send(order.rank, order.order);
        }
    }
    if (new_round || now >= this->next_rollout_poll_) {
        this->next_rollout_poll_ = now + this->options_.rollout_poll_interval;
        for (const auto rank : this->rollout_->ranks_to_poll()) {
            this->send(rank, std::nullopt);
        }
    }
}

void group_balancer::send(unsigned rank, const std::optional<policy::rank_order>& order)
{
    auto& it = this->ranks_[rank];
    const auto round = this->rollout_->round();
    if (it.order_pending && it.pending_rollout == this->rollout_sequence_ &&
        it.pending_round == round) {
        return; // a request of this round is still pending
    }
    it.order_pending = true;
    it.pending_rollout = this->rollout_sequence_;
    it.pending_round = round;
    rank_request request;
    request.token = this->token_;
    request.epoch = this->rollout_->epoch();
    request.order = order;
    if (order) {
        if (this->encoded_order_.order != order) {
            this->encoded_order_ = {order, std::make_shared<std::string>(encode_order(*order))};
        }
        request.encoded_order = this->encoded_order_.bytes;
    }
    it.link->send(request, [weak = this->weak_from_this(), number = this->rollout_sequence_, round,
                            rank, order](const rank_reply& reply) {
        if (const auto self = weak.lock()) {
            self->on_rollout_reply(number, round, rank, order, reply);
        }
    });
}

void group_balancer::on_rollout_reply(std::uint64_t rollout, std::uint64_t round, unsigned rank,
                                      const std::optional<policy::rank_order>& order,
                                      const rank_reply& received)
{
    const auto& reply = this->checked(rank, received);
    auto& it = this->ranks_[rank];
    if (it.pending_rollout == rollout && it.pending_round == round) {
        it.order_pending = false;
    }
    if (!this->rollout_ || rollout != this->rollout_sequence_) {
        return;
    }
    if (order && reply.result == policy::order_result::fenced) {
        this->fenced_ = true;
        this->log_.note(
            log_level::warning, "another coordinator has taken over",
            {{"group", this->name_}, {"token", static_cast<std::int64_t>(this->token_)}});
    }
    if (reply.report) {
        it.report = reply.report;
        it.reported_at = this->clock_.now();
    }
    this->rollout_->on_reply(round, rank, order, reply.result, reply.report, this->clock_.now());
    if (this->rollout_->is_over()) {
        this->end_rollout();
    }
    else if (this->rollout_->round() != this->started_round_) {
        this->advance_rollout();
    }
    else if (order && reply.result == policy::order_result::done) {
        // A rank that has executed its order gets the next one without waiting for the others.
        const auto next = this->rollout_->pending_order(rank);
        if (next && *next != *order) {
            this->send(rank, next);
        }
    }
}

void group_balancer::end_rollout()
{
    const auto phase = this->rollout_->phase();
    const auto now = this->clock_.now();
    this->highest_held_step_ = std::max(this->highest_held_step_, this->rollout_->step());
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->rollout_started_);
    this->log_.note(phase == policy::rollout_phase::done ? log_level::info : log_level::warning,
                    "switch of maps ended",
                    {{"group", this->name_},
                     {"version", static_cast<std::int64_t>(this->rollout_->target().version)},
                     {"outcome", policy::to_string(phase)},
                     {"step", static_cast<std::int64_t>(this->rollout_->step())},
                     {"took_ms", static_cast<std::int64_t>(elapsed.count())}});
    if (phase == policy::rollout_phase::lost) {
        this->surveyed_epoch_.reset();
    }
    else {
        this->surveyed_epoch_ = this->rollout_->epoch();
    }
    if (this->rollout_->is_superseded() && !std::exchange(this->fenced_, true)) {
        this->log_.note(
            log_level::warning, "another coordinator is at work",
            {{"group", this->name_}, {"token", static_cast<std::int64_t>(this->token_)}});
    }
    if (phase == policy::rollout_phase::done) {
        ++this->switches_;
        this->failures_in_a_row_ = 0;
        this->current_ = this->rollout_->target();
    }
    else {
        const auto pause =
            std::min(this->options_.max_retry_pause,
                     this->options_.min_retry_pause * (1U << this->failures_in_a_row_));
        this->failures_in_a_row_ = std::min(this->failures_in_a_row_ + 1, max_pause_doublings);
        this->next_rollout_ = now + pause;
        this->next_cleanup_ = now + std::min(pause, this->options_.max_cleanup_pause);
        this->current_.reset();
        for (auto& it : this->ranks_) {
            it.experts.reset();
        }
    }
    this->rollout_.reset();
    // Counts are not read during a switch, so the next poll covers its whole duration.
    this->next_poll_ = now;
}

} // namespace medlaryoke::experts
