#include "controllers/rank_controller.h"

#include <utility>

#include <fmt/format.h>

#include "base/digest.h"

namespace medlaryoke::controllers {

namespace {

// The active map, a prepared one, and one that an aborted switch left behind.
constexpr std::size_t max_remembered_maps = 3;

// A coordinator repeats what is not confirmed, so older commands can be dropped.
constexpr std::size_t max_pending_commands = 64;

} // namespace

rank_controller::rank_controller(rank_controller_options options, rank_engine& engine)
    : options_(std::move(options)), engine_(engine), gate_(options_.agent_incarnation)
{
}

void rank_controller::handle(received_map_command command, reply_function reply)
{
    if (command.group != this->options_.group) {
        return;
    }
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->pending_.size() >= max_pending_commands) {
            return;
        }
        this->pending_.push_back({std::move(command), std::move(reply)});
        if (std::exchange(this->running_, true)) {
            return;
        }
    }
    this->run_next();
}

void rank_controller::poll()
{
    this->engine_.read([self = this->shared_from_this()](const auto& state) {
        const std::scoped_lock lock(self->mutex_);
        // While a command runs, its own answer is the newer one.
        if (state && !self->running_) {
            self->refresh(*state);
        }
    });
}

policy::rank_status rank_controller::status() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->gate_.status();
}

void rank_controller::run_next()
{
    this->engine_.read(
        [self = this->shared_from_this()](const auto& state) { self->on_state(state); });
}

void rank_controller::on_state(const std::optional<rank_engine_state>& state)
{
    if (!state) {
        this->end_current();
        return;
    }
    policy::map_command order;
    wire::expert_map map;
    bool accepted = false;
    {
        const std::scoped_lock lock(this->mutex_);
        this->refresh(*state);
        const auto& current = this->pending_.front().command;
        accepted =
            this->gate_.handle(current.sender, current.incarnation, current.command).accepted;
        order = current.command;
        if (accepted && std::holds_alternative<policy::map_prepare_command>(order)) {
            this->remember_map(current.map);
            map = current.map;
        }
    }
    if (!accepted || std::holds_alternative<policy::map_query_command>(order)) {
        this->finish(*state, accepted);
        return;
    }
    this->engine_.order(order, map, [self = this->shared_from_this()](const auto& after) {
        self->on_order_done(after);
    });
}

void rank_controller::on_order_done(const std::optional<rank_engine_state>& state)
{
    if (!state) {
        this->end_current();
        return;
    }
    this->finish(*state, state->obeyed);
}

void rank_controller::finish(const rank_engine_state& state, bool accepted)
{
    wire::frame answer;
    reply_function reply;
    {
        const std::scoped_lock lock(this->mutex_);
        this->refresh(state);
        auto status = this->gate_.status();
        status.accepted = accepted;
        answer = make_status_frame(this->options_.group, this->options_.rank, status);
        const auto& current = this->pending_.front();
        auto& message = *answer.mutable_map_status();
        const auto map = this->maps_.find(status.active_version);
        if (current.command.with_map && map != this->maps_.end()) {
            *message.mutable_active_map() = map->second;
        }
        if (current.command.with_tokens) {
            for (const auto& layer : state.tokens) {
                message.add_tokens()->mutable_tokens_of_slot()->Add(layer.begin(), layer.end());
            }
        }
        reply = current.reply;
    }
    reply(std::move(answer));
    this->end_current();
}

void rank_controller::end_current()
{
    {
        const std::scoped_lock lock(this->mutex_);
        this->pending_.pop_front();
        if (this->pending_.empty()) {
            this->running_ = false;
            return;
        }
    }
    this->run_next();
}

void rank_controller::refresh(const rank_engine_state& state)
{
    auto status = state.status;
    // A new life of either the agent or the engine is a new incarnation of the rank.
    status.incarnation =
        hash64(fmt::format("{}/{}", this->options_.agent_incarnation, state.status.incarnation));
    this->gate_.refresh(status);
}

void rank_controller::remember_map(const wire::expert_map& map)
{
    this->maps_[map.version()] = map;
    const auto active = this->gate_.status().active_version;
    for (auto it = this->maps_.begin();
         this->maps_.size() > max_remembered_maps && it != this->maps_.end();) {
        it = it->first == active ? std::next(it) : this->maps_.erase(it);
    }
}

} // namespace medlaryoke::controllers
