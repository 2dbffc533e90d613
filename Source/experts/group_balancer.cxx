#include "experts/group_balancer.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace medlaryoke::experts {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(20);

// A state that is older says nothing about the group now.
constexpr auto state_age = std::chrono::milliseconds(1500);

// Steps of a search at a time: less than a millisecond for 72 ranks, so that requests are served in
// between.
constexpr unsigned search_slice = 16;

// The upper part of a version is the token, so that no two coordinators use the same one. Each
// proposal takes two versions: one for the map, one to replace it if the switch is given up.
constexpr unsigned proposal_bits = 20;

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
        this->own_ = this->shared_from_this();
    }
}

void group_balancer::tick()
{
    const auto alive = this->shared_from_this(); // own_ may hold the last reference
    const auto now = this->clock_.now();
    if (this->rollout_ && !this->fenced_) {
        this->drive();
    }
    if (this->fenced_ || (this->stopped_ && !this->rollout_)) {
        this->own_.reset();
        return;
    }
    if (!this->rollout_ && now >= this->next_look_) {
        this->next_look_ = now + this->options_.poll_interval;
        this->look();
    }
    this->context_.after(tick_interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

void group_balancer::look()
{
    this->searched_ = false;
    for (auto& set : this->loads_) {
        std::ranges::for_each(set, [this](double& it) { it *= this->options_.memory; });
    }
    const auto every = std::max(1U, (this->shape_.ranks + this->options_.counted_ranks - 1) /
                                        std::max(this->options_.counted_ranks, 1U));
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        if (std::exchange(this->ranks_[rank].asked, true)) {
            continue;
        }
        rank_request request;
        request.token = this->token_;
        request.with_counts = rank % every == 0;
        request.with_experts = !this->current_;
        this->counts_pending_ += request.with_counts ? 1 : 0;
        this->ranks_[rank].link->send(request, [weak = this->weak_from_this(), rank,
                                                counted = request.with_counts](const auto& reply) {
            if (const auto self = weak.lock()) {
                self->on_look(rank, counted, reply);
            }
        });
    }
}

void group_balancer::on_look(unsigned rank, bool counted, const rank_reply& reply)
{
    auto& it = this->ranks_[rank];
    it.asked = false;
    this->counts_pending_ -= counted ? 1 : 0;
    if (reply.report) {
        it.report = reply.report;
        it.reported_at = this->clock_.now();
        it.experts = reply.experts ? reply.experts : it.experts;
        if (reply.counts) {
            this->add_counts(it, *reply.counts);
        }
    }
    // A search on the counts of a few ranks would follow their requests alone.
    if (this->counts_pending_ > 0 || this->stopped_ || this->rollout_ || this->search_) {
        return;
    }
    const auto state = this->common_state();
    if (!state) {
        return;
    }
    this->update_current(*state);
    if (!this->current_) {
        return;
    }
    if (state->armed == this->current_->version && !state->held) {
        return; // an idle group that switches with its next passes
    }
    if (state->armed || state->held) {
        // An earlier coordinator left the group in the middle of a switch.
        this->begin_rollout(*this->current_);
        return;
    }
    if (std::exchange(this->searched_, true)) {
        return;
    }
    // While a rank is reached from afar only, a switch would keep the group waiting.
    const bool all_near = std::ranges::none_of(
        this->ranks_, [](const auto& other) { return other.link->is_agent_silent(); });
    if (all_near) {
        this->search(*state);
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
            // Counts that fell belong to an engine that has started anew.
            const auto before = (*rank.counts)[n] <= counts[n] ? (*rank.counts)[n] : 0;
            this->loads_[n / this->shape_.experts][n % this->shape_.experts] +=
                static_cast<double>(counts[n] - before);
        }
    }
    rank.counts = counts;
}

std::optional<policy::rank_report> group_balancer::common_state() const
{
    const auto now = this->clock_.now();
    std::optional<policy::rank_report> common;
    for (const auto& it : this->ranks_) {
        if (!it.report || now - it.reported_at > state_age || !it.report->open) {
            return std::nullopt;
        }
        if (!common) {
            common = it.report;
            continue;
        }
        if (it.report->epoch != common->epoch || it.report->map != common->map) {
            return std::nullopt; // the reports are from before and after a change
        }
        common->armed = common->armed ? common->armed : it.report->armed;
        common->held = common->held ? common->held : it.report->held;
        common->step = std::max(common->step, it.report->step);
    }
    return common;
}

void group_balancer::update_current(const policy::rank_report& state)
{
    if (this->current_ && this->current_->version == state.map &&
        this->current_epoch_ == state.epoch) {
        return;
    }
    this->current_.reset();
    if (state.map == 0) {
        this->current_ = policy::first_map(this->shape_);
        this->current_epoch_ = state.epoch;
        return;
    }
    // A map of an earlier coordinator: its content is what the ranks say they hold.
    policy::expert_map map{
        state.map, std::vector<policy::set_placement>(this->shape_.sets,
                                                      policy::set_placement(this->shape_.ranks))};
    for (unsigned rank = 0; rank < this->ranks_.size(); ++rank) {
        const auto& experts = this->ranks_[rank].experts;
        if (!experts || experts->version != state.map ||
            experts->sets.size() != this->shape_.sets) {
            return;
        }
        for (unsigned set = 0; set < this->shape_.sets; ++set) {
            map.sets[set][rank] = experts->sets[set];
        }
    }
    this->current_ = std::move(map);
    this->current_epoch_ = state.epoch;
}

void group_balancer::search(const policy::rank_report& state)
{
    const bool enough = std::ranges::all_of(this->loads_, [this](const auto& set) {
        return std::accumulate(set.begin(), set.end(), 0.0) >= this->options_.least_tokens;
    });
    if (!enough || state.epoch != this->current_epoch_) {
        return;
    }
    policy::map_search_options options;
    options.min_gain = this->options_.min_gain;
    options.copies_per_rank = this->shape_.spare * this->shape_.sets;
    if (this->shape_.copy_time > duration::zero()) {
        const auto affordable = this->options_.copying / this->shape_.copy_time;
        options.copies_per_rank = static_cast<unsigned>(std::clamp<duration::rep>(
            affordable, 1, static_cast<duration::rep>(options.copies_per_rank)));
    }
    this->search_.emplace(this->shape_, *this->current_, this->loads_, this->paces(), options);
    this->search_on();
}

void group_balancer::search_on()
{
    if (!this->search_) {
        return;
    }
    if (this->stopped_ || this->fenced_ || this->rollout_) {
        this->search_.reset();
        return;
    }
    for (unsigned step = 0; step < search_slice; ++step) {
        if (!this->search_->improve_once()) {
            this->finish_search();
            return;
        }
    }
    this->context_.after(this->options_.search_pause, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->search_on();
        }
    });
}

double group_balancer::work(double skew) const
{
    return 1 - this->options_.expert_part + this->options_.expert_part * skew;
}

std::vector<double> group_balancer::paces() const
{
    std::vector<double> paces;
    std::ranges::transform(this->ranks_, std::back_inserter(paces),
                           [](const rank_state& it) { return it.report ? it.report->pace : 1.0; });
    return paces;
}

void group_balancer::finish_search()
{
    auto target = this->search_->map();
    const auto copies = this->search_->copies();
    const auto before = this->work(this->search_->mean_skew_before());
    const auto after = this->work(this->search_->mean_skew());
    this->search_.reset();
    const auto saving = 1 - after / before;
    const bool worthwhile = copies > 0 && saving >= this->options_.min_saving;
    this->log_.sample(log_level::info, worthwhile ? "better placement" : "placement kept",
                      {{"group", this->name_},
                       {"work_before", before},
                       {"work_after", after},
                       {"slowest_pace", std::ranges::max(this->paces())},
                       {"copies", static_cast<std::int64_t>(copies)}});
    if (worthwhile) {
        this->begin_rollout(std::move(target));
    }
}

void group_balancer::begin_rollout(policy::expert_map target)
{
    target.version = (this->token_ << proposal_bits) + 2 * ++this->proposals_;
    policy::rollout_options options;
    options.least_step = this->used_step_ + 1;
    this->rollout_started_ = this->clock_.now();
    ++this->rollout_number_;
    this->rollout_ = std::make_unique<policy::map_rollout>(this->shape_.ranks, this->current_epoch_,
                                                           std::move(target), *this->current_,
                                                           this->rollout_started_, options);
    this->sent_round_ = this->rollout_->round();
    this->next_order_ = {};
    this->drive();
}

void group_balancer::drive()
{
    const auto now = this->clock_.now();
    this->rollout_->on_time(now);
    if (this->rollout_->is_over()) {
        this->end_rollout();
        return;
    }
    const bool new_round =
        std::exchange(this->sent_round_, this->rollout_->round()) != this->rollout_->round();
    if (new_round) {
        this->log_.note(log_level::info, "switch of maps",
                        {{"group", this->name_},
                         {"phase", policy::to_string(this->rollout_->phase())},
                         {"version", static_cast<std::int64_t>(this->rollout_->target().version)},
                         {"step", static_cast<std::int64_t>(this->rollout_->step())}});
    }
    if (new_round || now >= this->next_order_) {
        this->next_order_ = now + this->options_.resend_interval;
        for (const auto& order : this->rollout_->orders()) {
            this->send(order.rank, order.order);
        }
    }
    if (new_round || now >= this->next_poll_) {
        this->next_poll_ = now + this->options_.rollout_poll_interval;
        for (const auto rank : this->rollout_->polls()) {
            this->send(rank, std::nullopt);
        }
    }
}

void group_balancer::send(unsigned rank, const std::optional<policy::rank_order>& order)
{
    auto& it = this->ranks_[rank];
    const auto round = this->rollout_->round();
    if (it.sent && it.sent_rollout == this->rollout_number_ && it.sent_round == round) {
        return; // not yet answered, or not yet given up
    }
    it.sent = true;
    it.sent_rollout = this->rollout_number_;
    it.sent_round = round;
    rank_request request;
    request.token = this->token_;
    request.epoch = this->rollout_->epoch();
    request.order = order;
    it.link->send(request, [weak = this->weak_from_this(), number = this->rollout_number_, round,
                            rank, order](const rank_reply& reply) {
        if (const auto self = weak.lock()) {
            self->on_rollout_reply(number, round, rank, order, reply);
        }
    });
}

void group_balancer::on_rollout_reply(std::uint64_t rollout, std::uint64_t round, unsigned rank,
                                      const std::optional<policy::rank_order>& order,
                                      const rank_reply& reply)
{
    auto& it = this->ranks_[rank];
    if (it.sent_rollout == rollout && it.sent_round == round) {
        it.sent = false;
    }
    if (!this->rollout_ || rollout != this->rollout_number_) {
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
    else if (this->rollout_->round() != this->sent_round_) {
        this->drive();
    }
}

void group_balancer::end_rollout()
{
    const auto phase = this->rollout_->phase();
    const auto now = this->clock_.now();
    this->used_step_ = std::max(this->used_step_, this->rollout_->step());
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->rollout_started_);
    this->log_.note(phase == policy::rollout_phase::done ? log_level::info : log_level::warning,
                    "switch of maps ended",
                    {{"group", this->name_},
                     {"version", static_cast<std::int64_t>(this->rollout_->target().version)},
                     {"outcome", policy::to_string(phase)},
                     {"step", static_cast<std::int64_t>(this->rollout_->step())},
                     {"took_ms", static_cast<std::int64_t>(took.count())}});
    if (phase == policy::rollout_phase::done) {
        ++this->switches_;
        this->current_ = this->rollout_->target();
    }
    else {
        this->current_.reset();
        for (auto& it : this->ranks_) {
            it.experts.reset();
        }
    }
    this->rollout_.reset();
    // Counts were not read during the switch; what was chosen then counts as one look.
    this->next_look_ = now;
}

} // namespace medlaryoke::experts
