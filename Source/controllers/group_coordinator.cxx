#include "controllers/group_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/logging.h"
#include "controllers/map_frames.h"

namespace medlaryoke::controllers {

namespace {

using namespace std::chrono_literals;

// Versions must differ between holders of the lease, and grow: the fence is their upper part.
constexpr unsigned version_counter_bits = 20;

constexpr std::size_t max_remembered_maps = 4;
constexpr duration retry_pause = 200ms;

const logger& log_output()
{
    static const logger instance("group");
    return instance;
}

} // namespace

group_coordinator::group_coordinator(group_coordinator_options options,
                                     group_coordinator_ports ports)
    : options_(std::move(options)), ports_(std::move(ports)),
      decision_(options_.costs, policy::improvement_limits{})
{
}

void group_coordinator::tick(time_point now)
{
    std::vector<outgoing> frames;
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->attempt_) {
            this->attempt_->check_timeouts(now);
            this->check_attempt(now);
        }
        if (!this->attempt_) {
            this->begin_if_due(now);
        }
        if (now >= this->next_send_) {
            frames = this->collect_commands(now);
        }
    }
    this->send_all(std::move(frames));
}

void group_coordinator::on_status(const wire::map_status& status, time_point now)
{
    std::vector<outgoing> frames;
    {
        const std::scoped_lock lock(this->mutex_);
        const auto parsed = parse_status(status);
        this->highest_ = std::max(this->highest_, parsed.promised);
        if (status.has_active_map()) {
            this->maps_[status.active_map().version()] = status.active_map();
        }
        if (!this->attempt_) {
            return;
        }
        if (this->with_tokens_ && status.tokens_size() > 0) {
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

void group_coordinator::begin_if_due(time_point now)
{
    const auto own = this->ports_.own_status();
    this->watch_progress(own, now);
    if (now < this->next_check_) {
        return;
    }
    this->highest_ = std::max(this->highest_, own.promised);
    const auto fence = this->ports_.fence();
    if (fence && *fence >= this->highest_.fence) {
        const auto round = *fence == this->highest_.fence ? this->highest_.round + 1 : 0;
        this->with_lease_ = true;
        this->begin({*fence, round, this->options_.agent_incarnation}, now);
        return;
    }
    const auto patience = this->options_.recovery_delay + this->options_.recovery_stagger;
    if (now - this->progress_at_ >= patience) {
        log_output().warning("The group has made no step since {} and nobody holds its lease. It "
                             "is repaired without a lease.",
                             own.next_step);
        this->with_lease_ = false;
        this->progress_at_ = now;
        this->begin(
            {this->highest_.fence, this->highest_.round + 1, this->options_.agent_incarnation},
            now);
    }
}

void group_coordinator::watch_progress(const policy::rank_status& own, time_point now)
{
    const bool is_first = this->progress_at_ == time_point{};
    if (is_first || own.next_step != this->last_next_step_) {
        this->last_next_step_ = own.next_step;
        this->progress_at_ = now;
    }
}

void group_coordinator::begin(const policy::ballot& own, time_point now)
{
    const auto target = this->with_lease_ && this->wanted_ ? this->wanted_->version() : 0;
    this->own_ = own;
    this->highest_ = own;
    this->with_tokens_ = this->with_lease_ && target == 0 && now >= this->next_tokens_;
    this->token_statuses_.clear();
    this->attempt_ = std::make_unique<policy::map_switch>(this->options_.shape.ranks, own, target,
                                                          this->options_.attempt_timeout, now,
                                                          this->options_.hold_timeout);
    this->next_send_ = now;
}

void group_coordinator::check_attempt(time_point now)
{
    const auto phase = this->attempt_->phase();
    // Before ranks are held, losing the lease ends the attempt; later the attempt must be finished.
    const bool is_early =
        phase == policy::switch_phase::query || phase == policy::switch_phase::prepare;
    const bool lost_lease = this->with_lease_ && is_early && !this->ports_.fence();
    if (phase == policy::switch_phase::fenced || lost_lease) {
        this->attempt_.reset();
        this->next_check_ = now + retry_pause;
    }
    else if (phase == policy::switch_phase::done) {
        this->finish_attempt(now);
    }
}

void group_coordinator::finish_attempt(time_point now)
{
    const auto version = this->attempt_->version();
    const bool is_new = this->wanted_ && version == this->wanted_->version();
    this->attempt_.reset();
    this->next_check_ = now + this->options_.check_interval;
    if (is_new) {
        log_output().info("All ranks use map {}.", version);
        ++this->counts_.switches;
        this->wanted_.reset();
    }
    this->counts_.active_version = version;
    if (version == 0 && this->with_lease_) {
        const std::vector layers(this->options_.layers,
                                 policy::expert_placement::place_round_robin(this->options_.shape));
        this->propose(layers);
        this->next_check_ = now;
    }
    else if (this->with_tokens_) {
        this->use_tokens(now);
    }
}

std::vector<group_coordinator::outgoing> group_coordinator::collect_commands(time_point now)
{
    std::vector<outgoing> frames;
    if (!this->attempt_) {
        return frames;
    }
    this->next_send_ = now + this->options_.resend_interval;
    for (const auto& command : this->attempt_->commands()) {
        if (auto it = this->make_outgoing(command)) {
            frames.push_back(std::move(*it));
        }
    }
    return frames;
}

std::optional<group_coordinator::outgoing>
group_coordinator::make_outgoing(const policy::rank_command& command) const
{
    wire::expert_map map;
    if (const auto* prepare = std::get_if<policy::map_prepare_command>(&command.command)) {
        const auto known = this->maps_.find(prepare->version);
        if (known == this->maps_.end()) {
            // The content comes from a rank that uses the map.
            for (unsigned rank = 0; rank < this->options_.shape.ranks; ++rank) {
                if (this->attempt_->status(rank).active_version == prepare->version) {
                    auto frame =
                        make_map_frame(this->options_.group,
                                       {rank, 0, this->own_, policy::map_query_command{}}, map);
                    frame.mutable_map_query()->set_with_map(true);
                    return outgoing{rank, std::move(frame)};
                }
            }
            return std::nullopt;
        }
        map = known->second;
    }
    auto frame = make_map_frame(this->options_.group, command, map);
    if (frame.has_map_query()) {
        frame.mutable_map_query()->set_with_tokens(this->with_tokens_);
        frame.mutable_map_query()->set_with_map(
            command.rank == 0 && !this->maps_.contains(this->counts_.active_version));
    }
    return outgoing{command.rank, std::move(frame)};
}

void group_coordinator::use_tokens(time_point now)
{
    auto totals = this->total_tokens();
    const auto interval = now - std::exchange(this->last_tokens_at_, now);
    this->next_tokens_ = now + this->options_.token_interval;
    auto last = std::exchange(this->last_tokens_, totals);
    if (!totals || !last) {
        return;
    }
    for (std::size_t layer = 0; layer < totals->size(); ++layer) {
        // A restarted engine counts from zero; its experts look idle for one interval.
        std::ranges::transform((*totals)[layer], (*last)[layer], (*totals)[layer].begin(),
                               [](double total, double old) { return std::max(total - old, 0.0); });
    }
    this->decision_.observe(*totals, interval);
    const auto current = this->placements(this->maps_[this->counts_.active_version]);
    const auto result = this->decision_.decide(current);
    if (const auto* change = std::get_if<policy::rebalance_map>(&result)) {
        this->counts_.loaded_experts += change->experts_to_load;
        this->propose(change->layers);
        this->next_check_ = now;
        this->last_tokens_.reset();
    }
}

std::optional<std::vector<std::vector<double>>> group_coordinator::total_tokens() const
{
    const auto map = this->maps_.find(this->counts_.active_version);
    const auto& shape = this->options_.shape;
    if (map == this->maps_.end() || this->token_statuses_.size() != shape.ranks) {
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

void group_coordinator::propose(const std::vector<policy::layer_placement>& layers)
{
    wire::expert_map map;
    map.set_version((this->own_.fence << version_counter_bits) + ++this->proposals_);
    map.set_slots_per_rank(this->options_.shape.slots_per_rank);
    for (const auto& layer : layers) {
        const auto& experts = layer.expert_of_slot;
        map.add_layers()->mutable_expert_of_slot()->Add(experts.begin(), experts.end());
    }
    this->maps_[map.version()] = map;
    if (this->maps_.size() > max_remembered_maps) {
        this->maps_.erase(this->maps_.begin());
    }
    this->wanted_ = std::move(map);
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

void group_coordinator::send_all(std::vector<outgoing> frames) const
{
    std::ranges::for_each(
        frames, [this](outgoing& it) { this->ports_.send(it.rank, std::move(it.frame)); });
}

} // namespace medlaryoke::controllers
