#include "controllers/group_member.h"

#include <atomic>
#include <utility>

#include "base/logging.h"
#include "controllers/map_frames.h"

namespace medlaryoke::controllers {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 25ms;
constexpr duration lease_time_to_live = 5s;
constexpr duration poll_interval = 500ms;
constexpr duration stall_timeout_stagger_per_rank = 200ms;

// Slots beyond those that one replica of each expert needs; they hold further replicas of the
// experts with the highest load.
constexpr unsigned spare_slots_per_rank = 1;

// Used because the platform does not report costs yet. They describe a step of 25 ms, 40 MB of
// weights per expert and a weight store that delivers 2 GB/s to the group.
const policy::rebalance_costs default_costs{.expert_time_fraction = 0.5,
                                            .bytes_per_expert = 40e6,
                                            .store_bytes_per_second = 2e9,
                                            .loading_slowdown_fraction = 0.02,
                                            .switch_pause = 30ms};

const logger& log_output()
{
    static const logger instance("group");
    return instance;
}

policy::placement_shape make_placement_shape(const model::model_group_spec& spec)
{
    const auto slots = (spec.experts_per_layer + spec.ranks - 1) / spec.ranks;
    return {spec.ranks, spec.experts_per_layer, slots + spare_slots_per_rank};
}

} // namespace

group_member::group_member(transport::runtime& context, const clock_source& clock,
                           transport::log_service& log, group_member_options options)
    : context_(context), clock_(clock), log_(log), options_(std::move(options)),
      engine_(context, options_.upstream_address)
{
}

group_member::~group_member()
{
    this->leave();
}

void group_member::start()
{
    this->tick_and_reschedule();
}

void group_member::on_config(const config_view& config)
{
    const auto target = this->find_membership(config);
    {
        const std::scoped_lock lock(this->mutex_);
        if (target == this->membership_) {
            return;
        }
    }
    this->leave();
    if (!target.group.empty()) {
        this->join(target);
    }
}

bool group_member::on_frame(const wire::frame& frame, rank_controller::reply_function reply)
{
    auto command = parse_map_frame(frame);
    if (!command) {
        return false;
    }
    std::shared_ptr<rank_controller> rank;
    {
        const std::scoped_lock lock(this->mutex_);
        rank = this->rank_;
    }
    if (rank) {
        rank->handle(*std::move(command), std::move(reply));
    }
    return true;
}

group_coordinator_counts group_member::counts() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->coordinator_ ? this->coordinator_->counts() : group_coordinator_counts{};
}

group_member::membership group_member::find_membership(const config_view& config) const
{
    const auto own_upstream = config.upstreams.find(this->options_.upstream);
    if (own_upstream == config.upstreams.end() || !own_upstream->second.spec.rank) {
        return {};
    }
    const auto group = config.model_groups.find(own_upstream->second.spec.serves);
    if (group == config.model_groups.end() || group->second.spec.experts_per_layer == 0) {
        return {};
    }
    membership result{
        group->first, group->second.spec, own_upstream->second.spec.rank.value_or(0), {}};
    for (const auto& [name, item] : config.upstreams) {
        if (item.spec.serves == result.group && item.spec.rank) {
            result.addresses[item.spec.rank.value_or(0)] = item.spec.agent;
        }
    }
    // A group in which a rank has no agent makes no steps, so it needs no coordinator.
    return result.addresses.size() == result.spec.ranks ? result : membership{};
}

void group_member::join(const membership& target)
{
    log_output().info("Joining group {} as rank {} of {}.", target.group, target.own_rank,
                      target.spec.ranks);
    const auto rank = std::make_shared<rank_controller>(
        rank_controller_options{target.group, target.own_rank, this->options_.agent_incarnation},
        this->engine_);
    const auto lease = std::make_shared<lease_controller>(
        this->clock_, this->log_,
        [&context = this->context_](duration delay, std::function<void()> fn) {
            context.after(delay, std::move(fn));
        },
        lease_controller_options{.name = "group/" + target.group,
                                 .holder = this->options_.instance,
                                 .incarnation = this->options_.agent_incarnation,
                                 .time_to_live = lease_time_to_live});
    group_coordinator_options options;
    options.group = target.group;
    options.agent_incarnation = this->options_.agent_incarnation;
    options.shape = make_placement_shape(target.spec);
    options.layers = target.spec.layers;
    options.costs = default_costs;
    options.stall_timeout_stagger = target.own_rank * stall_timeout_stagger_per_rank;
    auto coordinator = std::make_shared<group_coordinator>(
        options,
        group_coordinator_callbacks{
            .send = [this](unsigned to, wire::frame frame) { this->send(to, std::move(frame)); },
            .fence = [lease] { return lease->fence(); },
            .own_status = [rank] { return rank->status(); }});
    {
        const std::scoped_lock lock(this->mutex_);
        this->membership_ = target;
        this->rank_ = rank;
        this->lease_ = lease;
        this->coordinator_ = std::move(coordinator);
    }
    lease->start();
}

void group_member::leave()
{
    std::map<unsigned, rank_link> links;
    std::shared_ptr<lease_controller> lease;
    {
        const std::scoped_lock lock(this->mutex_);
        this->membership_ = {};
        this->rank_.reset();
        this->coordinator_.reset();
        lease = std::exchange(this->lease_, nullptr);
        links = std::exchange(this->links_, {});
    }
    if (lease) {
        lease->stop();
    }
}

void group_member::tick_and_reschedule()
{
    const auto now = this->clock_.now();
    std::shared_ptr<group_coordinator> coordinator;
    std::shared_ptr<rank_controller> polled;
    {
        const std::scoped_lock lock(this->mutex_);
        coordinator = this->coordinator_;
        if (now >= this->next_poll_at_) {
            polled = this->rank_;
            this->next_poll_at_ = now + poll_interval;
        }
    }
    if (polled) {
        polled->poll();
    }
    if (coordinator) {
        coordinator->tick(now);
    }
    const std::weak_ptr<group_member> weak = this->weak_from_this();
    this->context_.after(tick_interval, [weak] {
        if (const auto self = weak.lock()) {
            self->tick_and_reschedule();
        }
    });
}

void group_member::send(unsigned rank, wire::frame frame)
{
    const std::scoped_lock lock(this->mutex_);
    const auto address = this->membership_.addresses.find(rank);
    if (address == this->membership_.addresses.end()) {
        return;
    }
    auto it = this->links_.find(rank);
    if (it == this->links_.end()) {
        it = this->links_.emplace(rank, this->make_link(address->second)).first;
    }
    *it->second.awaits_answer = true;
    it->second.client->send(std::move(frame));
}

group_member::rank_link group_member::make_link(const std::string& address)
{
    rank_link link;
    link.awaits_answer = std::make_shared<bool>(false);
    const std::weak_ptr<group_member> weak = this->weak_from_this();
    transport::message_client_events events;
    events.on_frame = [weak](const wire::frame& frame) {
        const auto self = weak.lock();
        if (!self || !frame.has_map_status()) {
            return;
        }
        std::shared_ptr<group_coordinator> coordinator;
        {
            const std::scoped_lock lock(self->mutex_);
            coordinator = self->coordinator_;
        }
        if (coordinator) {
            coordinator->on_status(frame.map_status(), self->clock_.now());
        }
    };
    events.on_silent = [weak, address] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const std::scoped_lock lock(self->mutex_);
        for (auto& [rank, it] : self->links_) {
            const auto rank_address = self->membership_.addresses.find(rank);
            const bool is_same_address = rank_address != self->membership_.addresses.end() &&
                                         rank_address->second == address;
            // Silence is no fault if the agent was not sent a command.
            if (is_same_address && std::exchange(*it.awaits_answer, false)) {
                it.client->reconnect();
            }
        }
    };
    transport::message_client_options options;
    options.address = address;
    link.client =
        std::make_unique<transport::message_client>(this->context_, options, std::move(events));
    return link;
}

} // namespace medlaryoke::controllers
