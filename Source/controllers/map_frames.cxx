#include "controllers/map_frames.h"

#include <variant>

namespace medlaryoke::controllers {

namespace {

void set_ballot(wire::ballot& target, const policy::ballot& source)
{
    target.set_fence(source.fence);
    target.set_round(source.round);
    target.set_agent(source.agent);
}

policy::ballot parse_ballot(const wire::ballot& source)
{
    return {.fence = source.fence(), .round = source.round(), .agent = source.agent()};
}

/// Sets the message of a frame according to the kind of command.
struct command_frame_builder {
    wire::frame& frame;
    const std::string& group;
    const policy::rank_command& command;
    const wire::expert_map& map;

    template <typename Message>
    Message& set_header(Message& message) const
    {
        message.set_group(this->group);
        set_ballot(*message.mutable_ballot(), this->command.sender);
        return message;
    }

    template <typename Message>
    Message& set_header_and_receiver(Message& message) const
    {
        this->set_header(message).set_agent_incarnation(this->command.incarnation);
        return message;
    }

    void operator()(const policy::map_query_command& /*it*/) const
    {
        this->set_header(*this->frame.mutable_map_query());
    }

    void operator()(const policy::map_prepare_command& it) const
    {
        auto& message = this->set_header_and_receiver(*this->frame.mutable_map_prepare());
        message.set_map_version(it.version);
        message.set_map(this->map.SerializeAsString());
    }

    void operator()(const policy::map_hold_command& it) const
    {
        auto& message = this->set_header_and_receiver(*this->frame.mutable_map_hold());
        message.set_map_version(it.version);
        message.set_step(it.step);
    }

    void operator()(const policy::map_activate_command& it) const
    {
        auto& message = this->set_header_and_receiver(*this->frame.mutable_map_activate());
        message.set_map_version(it.version);
        message.set_step(it.step);
    }

    void operator()(const policy::map_abort_command& /*it*/) const
    {
        this->set_header_and_receiver(*this->frame.mutable_map_abort());
    }
};

template <typename Message>
received_map_command parse_header(const Message& message)
{
    received_map_command result;
    result.group = message.group();
    result.sender = parse_ballot(message.ballot());
    return result;
}

template <typename Message>
received_map_command parse_command(const Message& message, const policy::map_command& command)
{
    auto result = parse_header(message);
    result.incarnation = message.agent_incarnation();
    result.command = command;
    return result;
}

} // namespace

wire::frame make_map_frame(const std::string& group, const policy::rank_command& command,
                           const wire::expert_map& map)
{
    wire::frame frame;
    std::visit(command_frame_builder{frame, group, command, map}, command.command);
    return frame;
}

std::optional<received_map_command> parse_map_frame(const wire::frame& frame)
{
    switch (frame.body_case()) {
    case wire::frame::kMapQuery: {
        auto result = parse_header(frame.map_query());
        result.with_map = frame.map_query().with_map();
        result.with_tokens = frame.map_query().with_tokens();
        return result;
    }
    case wire::frame::kMapPrepare: {
        const auto& message = frame.map_prepare();
        auto result = parse_command(message, policy::map_prepare_command{message.map_version()});
        if (!result.map.ParseFromString(message.map())) {
            return std::nullopt;
        }
        return result;
    }
    case wire::frame::kMapHold: {
        const auto& message = frame.map_hold();
        return parse_command(message,
                             policy::map_hold_command{message.map_version(), message.step()});
    }
    case wire::frame::kMapActivate: {
        const auto& message = frame.map_activate();
        return parse_command(message,
                             policy::map_activate_command{message.map_version(), message.step()});
    }
    case wire::frame::kMapAbort:
        return parse_command(frame.map_abort(), policy::map_abort_command{});
    default:
        return std::nullopt;
    }
}

wire::frame make_status_frame(const std::string& group, unsigned rank,
                              const policy::rank_status& status)
{
    wire::frame frame;
    auto& message = *frame.mutable_map_status();
    message.set_group(group);
    message.set_rank(rank);
    set_ballot(*message.mutable_promised(), status.promised);
    message.set_agent_incarnation(status.incarnation);
    message.set_active_version(status.active_version);
    message.set_prepared_version(status.prepared_version);
    message.set_held_step(status.held_step);
    message.set_held_version(status.held_version);
    message.set_next_step(status.next_step);
    message.set_completed_step(status.completed_step);
    message.set_accepted(status.accepted);
    return frame;
}

policy::rank_status parse_status(const wire::map_status& status)
{
    return {.promised = parse_ballot(status.promised()),
            .incarnation = status.agent_incarnation(),
            .active_version = status.active_version(),
            .prepared_version = status.prepared_version(),
            .held_step = status.held_step(),
            .held_version = status.held_version(),
            .next_step = status.next_step(),
            .completed_step = status.completed_step(),
            .accepted = status.accepted()};
}

} // namespace medlaryoke::controllers
