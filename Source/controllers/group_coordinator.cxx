#include "controllers/group_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/logging.h"
#include "controllers/map_frames.h"

namespace medlaryoke::controllers {

namespace {

using namespace std::chrono_literals;

// Map versions must be unique across lease holders and increase, so the fence of the lease forms
// their upper bits.
constexpr unsigned version_counter_bits = 20;

constexpr std::size_t max_cached_maps = 4;
constexpr duration retry_delay = 200ms;

const logger& log_output()
{
    static const logger instance("group");
    return instance;
}

} // namespace

group_coordinator::group_coordinator(group_coordinator_options options,
                                     group_coordinator_callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)),
      decision_(options_.costs, policy::improvement_limits{})
{
}

void group_coordinator::tick(time_point now)
{
    std::vector<outgoing_frame> frames;
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->attempt_) {
            this->attempt_->check_timeouts(now);
            this->check_attempt(now);
        }
        if (!this->attempt_) {
            this->start_attempt_if_due(now);
        }
        if (now >= this->next_send_at_) {
            frames = this->collect_commands(now);
        }
    }
    this->send_all(std::move(frames));
}

void group_coordinator::on_status(const wire::map_status& status, time_point now)
{
    std::vector<outgoing_frame> frames;
    {
        const std::scoped_lock lock(this->mutex_);
        const auto parsed = parse_status(status);
        this->highest_ballot_ = std::max(this->highest_ballot_, parsed.promised);
        if (status.has_active_map()) {
            this->maps_by_version_[status.active_map().version()] = status.active_map();
        }
        if (!this->attempt_) {
            return;
        }
        if (this->counts_tokens_ && status.tokens_size() > 0) {
            this->token_statuses_[status.rank()] = status;
        }
        const auto before = this->attempt_->phase();
        this->attempt_->on_status(status.rank(), parsed);
        this->check_attempt(now);
        if (this->attempt_ && this->attempt_->phase() != before) {
            frames = this->collect_commands(now);
        }
    }
    this->send_all(std::move(frames));
}

group_coordinator_counts group_coordinator::counts() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->counts_;
}

void group_coordinator::start_attempt_if_due(time_point now)
{
    const auto own = this->callbacks_.own_status();
    this->track_progress(own, now);
    if (now < this->next_attempt_at_) {
        return;
    }
    this->highest_ballot_ = std::max(this->highest_ballot_, own.promised);
    const auto fence = this->callbacks_.fence();
    if (fence && *fence >= this->highest_ballot_.fence) {
        const auto round =
            *fence == this->highest_ballot_.fence ? this->highest_ballot_.round + 1 : 0;
        this->under_lease_ = true;
        this->start_attempt({*fence, round, this->options_.agent_incarnation}, now);
        return;
    }
    const auto max_stall = this->options_.stall_timeout + this->options_.stall_timeout_stagger;
    if (now - this->last_progress_at_ >= max_stall) {
        log_output().warning("The group is stalled before step {}. Repairing it without a lease.",
                             own.next_step);
        this->under_lease_ = false;
        this->last_progress_at_ = now;
        this->start_attempt({this->highest_ballot_.fence, this->highest_ballot_.round + 1,
                             this->options_.agent_incarnation},
                            now);
    }
}

void group_coordinator::track_progress(const policy::rank_status& own, time_point now)
{
    const bool is_first = this->last_progress_at_ == time_point{};
    if (is_first || own.next_step != this->last_next_step_) {
        this->last_next_step_ = own.next_step;
        this->last_progress_at_ = now;
    }
}

void group_coordinator::start_attempt(const policy::ballot& ballot, time_point now)
{
    const auto target_version =
        this->under_lease_ && this->proposed_map_ ? this->proposed_map_->version() : 0;
    this->own_ballot_ = ballot;
    this->highest_ballot_ = ballot;
    this->counts_tokens_ =
        this->under_lease_ && target_version == 0 && now >= this->next_token_count_at_;
    this->token_statuses_.clear();
    this->attempt_ = std::make_unique<policy::map_switch>(
        this->options_.shape.ranks, ballot, target_version, this->options_.attempt_timeout, now,
        this->options_.hold_timeout);
    this->next_send_at_ = now;
}

void group_coordinator::check_attempt(time_point now)
{
    const auto phase = this->attempt_->phase();
    // Before ranks are held, the loss of the lease ends the attempt. Later the attempt must be
    // finished, because held ranks make no steps until they get another command.
    const bool is_before_hold =
        phase == policy::switch_phase::query || phase == policy::switch_phase::prepare;
    const bool lost_lease = this->under_lease_ && is_before_hold && !this->callbacks_.fence();
    if (phase == policy::switch_phase::fenced || lost_lease) {
        this->attempt_.reset();
        this->next_attempt_at_ = now + retry_delay;
    }
    else if (phase == policy::switch_phase::done) {
        this->finish_attempt(now);
    }
}

void group_coordinator::finish_attempt(time_point now)
{
    const auto version = this->attempt_->version();
    const bool is_proposed_map = this->proposed_map_ && version == this->proposed_map_->version();
    this->attempt_.reset();
    this->next_attempt_at_ = now + this->options_.status_check_interval;
    if (is_proposed_map) {
        log_output().info("All ranks use map {}.", version);
        ++this->counts_.switches;
        this->proposed_map_.reset();
    }
    this->counts_.active_version = version;
    if (version == 0 && this->under_lease_) {
        const std::vector layers(this->options_.layers,
                                 policy::expert_placement::place_round_robin(this->options_.shape));
        this->propose_map(layers);
        this->next_attempt_at_ = now;
    }
    else if (this->counts_tokens_) {
        this->rebalance_if_worthwhile(now);
    }
}

std::vector<group_coordinator::outgoing_frame> group_coordinator::collect_commands(time_point now)
{
    std::vector<outgoing_frame> frames;
    if (!this->attempt_) {
        return frames;
    }
    this->next_send_at_ = now + this->options_.resend_interval;
    for (const auto& command : this->attempt_->commands()) {
        if (auto it = this->make_outgoing_frame(command)) {
            frames.push_back(std::move(*it));
        }
    }
    return frames;
}

std::optional<group_coordinator::outgoing_frame>
group_coordinator::make_outgoing_frame(const policy::rank_command& command) const
{
    wire::expert_map map;
    if (const auto* prepare = std::get_if<policy::map_prepare_command>(&command.command)) {
        const auto known = this->maps_by_version_.find(prepare->version);
        if (known == this->maps_by_version_.end()) {
            // Requests the content of the map from a rank on which it is active.
            for (unsigned rank = 0; rank < this->options_.shape.ranks; ++rank) {
                if (this->attempt_->status(rank).active_version == prepare->version) {
                    auto frame = make_map_frame(
                        this->options_.group,
                        {rank, 0, this->own_ballot_, policy::map_query_command{}}, map);
                    frame.mutable_map_query()->set_with_map(true);
                    return outgoing_frame{rank, std::move(frame)};
                }
            }
            return std::nullopt;
        }
        map = known->second;
    }
    auto frame = make_map_frame(this->options_.group, command, map);
    if (frame.has_map_query()) {
        frame.mutable_map_query()->set_with_tokens(this->counts_tokens_);
        frame.mutable_map_query()->set_with_map(
            command.rank == 0 && !this->maps_by_version_.contains(this->counts_.active_version));
    }
    return outgoing_frame{command.rank, std::move(frame)};
}

void group_coordinator::rebalance_if_worthwhile(time_point now)
{
    auto totals = this->sum_tokens_by_expert();
    const auto interval = now - std::exchange(this->tokens_counted_at_, now);
    this->next_token_count_at_ = now + this->options_.token_count_interval;
    auto last = std::exchange(this->previous_token_totals_, totals);
    if (!totals || !last) {
        return;
    }
    for (std::size_t layer = 0; layer < totals->size(); ++layer) {
        // The counts of a restarted engine begin at zero, so a negative difference is taken
        // as zero.
        std::ranges::transform(
            (*totals)[layer], (*last)[layer], (*totals)[layer].begin(),
            [](double total, double previous) { return std::max(total - previous, 0.0); });
    }
    this->decision_.observe(*totals, interval);
    const auto current = this->placements(this->maps_by_version_[this->counts_.active_version]);
    const auto result = this->decision_.decide(current);
    if (const auto* change = std::get_if<policy::rebalance_map>(&result)) {
        this->counts_.loaded_experts += change->experts_to_load;
        this->propose_map(change->layers);
        this->next_attempt_at_ = now;
        this->previous_token_totals_.reset();
    }
}

std::optional<std::vector<std::vector<double>>> group_coordinator::sum_tokens_by_expert() const
{
    const auto map = this->maps_by_version_.find(this->counts_.active_version);
    const auto& shape = this->options_.shape;
    if (map == this->maps_by_version_.end() || this->token_statuses_.size() != shape.ranks) {
        return std::nullopt;
    }
    std::vector<std::vector<double>> totals(this->options_.layers,
                                            std::vector<double>(shape.experts));
    for (const auto& [rank, status] : this->token_statuses_) {
        const auto layers = std::min<int>(status.tokens_size(), map->second.layers_size());
        for (int layer = 0; layer < layers; ++layer) {
            const auto& tokens = status.tokens(layer).tokens_of_slot();
            const auto& experts = map->second.layers(layer).expert_of_slot();
            const auto first = static_cast<int>(rank * shape.slots_per_rank);
            for (int slot = 0; slot < tokens.size() && first + slot < experts.size(); ++slot) {
                totals[static_cast<std::size_t>(layer)].at(experts[first + slot]) +=
                    static_cast<double>(tokens[slot]);
            }
        }
    }
    return totals;
}

void group_coordinator::propose_map(const std::vector<policy::layer_placement>& layers)
{
    wire::expert_map map;
    map.set_version((this->own_ballot_.fence << version_counter_bits) + ++this->proposal_count_);
    map.set_slots_per_rank(this->options_.shape.slots_per_rank);
    for (const auto& layer : layers) {
        const auto& experts = layer.expert_of_slot;
        map.add_layers()->mutable_expert_of_slot()->Add(experts.begin(), experts.end());
    }
    this->maps_by_version_[map.version()] = map;
    if (this->maps_by_version_.size() > max_cached_maps) {
        this->maps_by_version_.erase(this->maps_by_version_.begin());
    }
    this->proposed_map_ = std::move(map);
}

std::vector<policy::layer_placement>
group_coordinator::placements(const wire::expert_map& map) const
{
    std::vector<policy::layer_placement> result;
    std::ranges::transform(map.layers(), std::back_inserter(result), [this](const auto& layer) {
        const auto& experts = layer.expert_of_slot();
        return policy::layer_placement{this->options_.shape, {experts.begin(), experts.end()}};
    });
    return result;
}

void group_coordinator::send_all(std::vector<outgoing_frame> frames) const
{
    std::ranges::for_each(frames, [this](outgoing_frame& it) {
        this->callbacks_.send(it.rank, std::move(it.frame));
    });
}

} // namespace medlaryoke::controllers
