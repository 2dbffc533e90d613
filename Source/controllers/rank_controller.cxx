#include "controllers/rank_controller.h"

#include <utility>

#include <fmt/format.h>

#include "base/digest.h"

namespace medlaryoke::controllers {

namespace {

// Enough for the active map, a prepared map and the map of an aborted switch.
constexpr std::size_t max_stored_maps = 3;

// Further commands can be dropped because coordinators resend unconfirmed commands.
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
        if (std::exchange(this->processing_, true)) {
            return;
        }
    }
    this->process_next_command();
}

void rank_controller::poll()
{
    this->engine_.read([self = this->shared_from_this()](const auto& state) {
        const std::scoped_lock lock(self->mutex_);
        // While a command is processed, the state that its answer contains is newer.
        if (state && !self->processing_) {
            self->update_status(*state);
        }
    });
}

policy::rank_status rank_controller::status() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->gate_.status();
}

void rank_controller::process_next_command()
{
    this->engine_.read(
        [self = this->shared_from_this()](const auto& state) { self->on_state(state); });
}

void rank_controller::on_state(const std::optional<rank_engine_state>& state)
{
    if (!state) {
        this->finish_current_command();
        return;
    }
    policy::map_command command;
    wire::expert_map map;
    bool accepted = false;
    {
        const std::scoped_lock lock(this->mutex_);
        this->update_status(*state);
        const auto& current = this->pending_.front().command;
        accepted =
            this->gate_.handle(current.sender, current.incarnation, current.command).accepted;
        command = current.command;
        if (accepted && std::holds_alternative<policy::map_prepare_command>(command)) {
            this->store_map(current.map);
            map = current.map;
        }
    }
    if (!accepted || std::holds_alternative<policy::map_query_command>(command)) {
        this->reply_with_status(*state, accepted);
        return;
    }
    this->engine_.execute(command, map, [self = this->shared_from_this()](const auto& after) {
        self->on_command_done(after);
    });
}

void rank_controller::on_command_done(const std::optional<rank_engine_state>& state)
{
    if (!state) {
        this->finish_current_command();
        return;
    }
    this->reply_with_status(*state, state->accepted);
}

void rank_controller::reply_with_status(const rank_engine_state& state, bool accepted)
{
    wire::frame answer;
    reply_function reply;
    {
        const std::scoped_lock lock(this->mutex_);
        this->update_status(state);
        auto status = this->gate_.status();
        status.accepted = accepted;
        answer = make_status_frame(this->options_.group, this->options_.rank, status);
        const auto& current = this->pending_.front();
        auto& message = *answer.mutable_map_status();
        const auto map = this->maps_by_version_.find(status.active_version);
        if (current.command.with_map && map != this->maps_by_version_.end()) {
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
    this->finish_current_command();
}

void rank_controller::finish_current_command()
{
    {
        const std::scoped_lock lock(this->mutex_);
        this->pending_.pop_front();
        if (this->pending_.empty()) {
            this->processing_ = false;
            return;
        }
    }
    this->process_next_command();
}

void rank_controller::update_status(const rank_engine_state& state)
{
    auto status = state.status;
    // A restart of either the agent or the engine changes the incarnation of the rank.
    status.incarnation =
        hash64(fmt::format("{}/{}", this->options_.agent_incarnation, state.status.incarnation));
    this->gate_.refresh(status);
}

void rank_controller::store_map(const wire::expert_map& map)
{
    this->maps_by_version_[map.version()] = map;
    const auto active = this->gate_.status().active_version;
    for (auto it = this->maps_by_version_.begin();
         this->maps_by_version_.size() > max_stored_maps && it != this->maps_by_version_.end();) {
        it = it->first == active ? std::next(it) : this->maps_by_version_.erase(it);
    }
}

} // namespace medlaryoke::controllers
