#include "controllers/agent_session.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

/// Minimum age of a session that is replaced because the agent does not know it. Without it, each
/// late reply of a restarted agent would open a further session.
constexpr duration min_session_age = std::chrono::milliseconds(200);

const logger& route_log()
{
    static const logger instance("route");
    return instance;
}

transport::http_head to_http_head(const policy::deliver_head& action)
{
    transport::http_head head;
    head.status = action.status;
    for (const auto& it : action.headers) {
        head.headers.push_back({.name = it.name(), .value = it.value()});
    }
    return head;
}

/// Calls an optional callback of the owner; 0 if it is not set.
std::uint64_t offset_or_zero(const std::function<std::uint64_t()>& fn)
{
    return fn ? fn() : 0;
}

/// Finds the load report in a frame; null if the frame has none.
const wire::load_report* find_load_report(const wire::frame& frame)
{
    switch (frame.body_case()) {
    case wire::frame::kRefused:
        return frame.refused().has_load() ? &frame.refused().load() : nullptr;
    case wire::frame::kFinished:
        return frame.finished().has_load() ? &frame.finished().load() : nullptr;
    case wire::frame::kFailed:
        return frame.failed().has_load() ? &frame.failed().load() : nullptr;
    case wire::frame::kHeartbeat:
        return frame.heartbeat().has_load() ? &frame.heartbeat().load() : nullptr;
    default:
        return nullptr;
    }
}

} // namespace

agent_session::agent_session(const clock_source& clock, agent_link_options options,
                             agent_link_events events, agent_session_ports ports)
    : clock_(clock), options_(std::move(options)), events_(std::move(events)),
      ports_(std::move(ports))
{
    this->view_.upstream = this->options_.upstream;
}

void agent_session::start()
{
    const auto config_offset = offset_or_zero(this->events_.config_offset);
    const std::scoped_lock lock(this->mutex_);
    this->disconnected_at_ = this->clock_.now();
    this->open_session(config_offset);
}

void agent_session::on_frame(const wire::frame& frame)
{
    const auto config_offset = offset_or_zero(this->events_.config_offset);
    {
        const std::scoped_lock lock(this->mutex_);
        if (const auto* load = find_load_report(frame); load != nullptr && this->view_.connected) {
            this->update_load(*load);
        }
        switch (frame.body_case()) {
        case wire::frame::kWelcome:
            if (frame.welcome().session().number() == 0) {
                this->on_unknown_session(config_offset);
            }
            else {
                this->on_welcome(frame.welcome());
                this->notify_config_frame(frame);
            }
            break;
        case wire::frame::kHeartbeat:
            this->view_.config_offset =
                std::max(this->view_.config_offset, frame.heartbeat().config_offset());
            this->view_.confirmed_offset =
                std::max(this->view_.confirmed_offset, frame.heartbeat().confirmed_offset());
            if (this->events_.on_usage && frame.heartbeat().usage_size() > 0) {
                const auto& usage = frame.heartbeat().usage();
                this->actions_.add(
                    [fn = this->events_.on_usage, list = std::vector<wire::organisation_usage>(
                                                      usage.begin(), usage.end())] { fn(list); });
            }
            this->notify_config_frame(frame);
            break;
        case wire::frame::kConfigRequest:
        case wire::frame::kConfigRecords:
            this->notify_config_frame(frame);
            break;
        case wire::frame::kProtocolError:
            route_log().warning("The agent of upstream {} reported a protocol error: {} {}",
                                this->options_.upstream, frame.protocol_error().message(),
                                frame.protocol_error().remedy());
            break;
        default:
            this->apply_actions(this->tracker_.on_frame(frame));
        }
    }
    this->actions_.run();
}

void agent_session::on_silent()
{
    const auto config_offset = offset_or_zero(this->events_.config_offset);
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        if (this->view_.connected) {
            route_log().warning(
                "The agent of upstream {} has sent no frame for too long; a new session is opened.",
                this->options_.upstream);
        }
        else if (now - this->disconnected_at_ >= reconnect_timeout) {
            this->apply_actions(
                this->tracker_.end_all_as_unknown("the agent did not answer on a new connection"));
        }
        this->open_session(config_offset);
    }
    this->actions_.run();
}

void agent_session::tick()
{
    const auto config_offset = offset_or_zero(this->events_.config_offset);
    const auto confirmed_offset = offset_or_zero(this->events_.confirmed_offset);
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        for (auto& action : this->tracker_.expire(now)) {
            if (const auto* ended = std::get_if<policy::dispatch_ended>(&action)) {
                wire::frame frame;
                frame.mutable_cancel()->set_dispatch_id(ended->id);
                this->ports_.send(std::move(frame));
            }
            this->apply_actions({std::move(action)});
        }
        if (this->view_.connected) {
            wire::frame frame;
            auto* heartbeat = frame.mutable_heartbeat();
            heartbeat->set_sent_at_us(static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch())
                    .count()));
            heartbeat->set_config_offset(config_offset);
            heartbeat->set_confirmed_offset(confirmed_offset);
            this->ports_.send(std::move(frame));
        }
    }
    this->actions_.run();
}

void agent_session::close()
{
    const std::scoped_lock lock(this->mutex_);
    this->view_.connected = false;
    this->apply_actions(this->tracker_.end_all_as_unknown("the link to the agent was closed"));
    this->post_actions();
}

std::uint64_t agent_session::dispatch(wire::dispatch request, time_point deadline,
                                      dispatch_events events)
{
    const auto config_offset = offset_or_zero(this->events_.config_offset);
    const std::scoped_lock lock(this->mutex_);
    const auto id = this->next_dispatch_id_++;
    const auto now = this->clock_.now();
    this->dispatch_events_.emplace(id, std::make_shared<dispatch_events>(std::move(events)));
    this->tracker_.add(id, this->view_.agent_incarnation, deadline + deadline_grace);
    if (!this->view_.connected || deadline <= now) {
        this->apply_actions(this->tracker_.on_send_failed(id));
        this->post_actions();
        return id;
    }
    request.set_dispatch_id(id);
    request.mutable_session()->set_entry_incarnation(this->options_.entry_incarnation);
    request.mutable_session()->set_number(this->session_number_);
    request.set_agent_incarnation(this->view_.agent_incarnation);
    request.set_config_offset(config_offset);
    request.set_timeout_us(static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::microseconds>(deadline - now).count()));
    wire::frame frame;
    *frame.mutable_dispatch() = std::move(request);
    if (this->ports_.send(std::move(frame))) {
        ++this->dispatches_sent_in_session_;
        ++this->view_.dispatched_since_report;
    }
    else {
        this->apply_actions(this->tracker_.on_send_failed(id));
        this->post_actions();
    }
    return id;
}

void agent_session::cancel(std::uint64_t dispatch_id)
{
    const std::scoped_lock lock(this->mutex_);
    this->dispatch_events_.erase(dispatch_id);
    if (!this->tracker_.cancel(dispatch_id)) {
        return;
    }
    wire::frame frame;
    frame.mutable_cancel()->set_dispatch_id(dispatch_id);
    this->ports_.send(std::move(frame));
}

void agent_session::send_config(wire::frame frame)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->view_.connected) {
        this->ports_.send(std::move(frame));
    }
}

agent_link_view agent_session::view() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->view_;
}

std::size_t agent_session::in_flight() const
{
    const std::scoped_lock lock(this->mutex_);
    return this->tracker_.size();
}

void agent_session::open_session(std::uint64_t config_offset)
{
    const auto now = this->clock_.now();
    if (std::exchange(this->view_.connected, false)) {
        this->disconnected_at_ = now;
        this->notify_load_changed();
    }
    if (this->session_number_ > 0) {
        this->ports_.reconnect();
    }
    this->opened_at_ = now;
    ++this->session_number_;
    this->dispatches_sent_in_session_ = 0;
    wire::frame frame;
    auto* hello = frame.mutable_hello();
    hello->mutable_session()->set_entry_incarnation(this->options_.entry_incarnation);
    hello->mutable_session()->set_number(this->session_number_);
    hello->set_instance(this->options_.instance);
    hello->set_data_centre(this->options_.data_centre);
    hello->set_config_offset(config_offset);
    for (const auto id : this->tracker_.open_session(this->session_number_)) {
        hello->add_in_flight(id);
    }
    this->ports_.send(std::move(frame));
}

void agent_session::on_unknown_session(std::uint64_t config_offset)
{
    if (this->clock_.now() - this->opened_at_ >= min_session_age) {
        this->open_session(config_offset);
    }
}

void agent_session::on_welcome(const wire::welcome& welcome)
{
    if (welcome.session().number() != this->session_number_ ||
        welcome.session().entry_incarnation() != this->options_.entry_incarnation ||
        this->view_.connected) {
        return;
    }
    if (this->view_.agent_incarnation != welcome.agent_incarnation()) {
        this->view_.connected_since = this->clock_.now();
    }
    this->view_.connected = true;
    this->view_.agent_incarnation = welcome.agent_incarnation();
    this->view_.config_offset = std::max(this->view_.config_offset, welcome.config_offset());
    this->update_load(welcome.load());
    this->apply_actions(this->tracker_.on_welcome(welcome));
    this->notify_load_changed();
}

void agent_session::update_load(const wire::load_report& load)
{
    this->view_.load = load;
    const auto received = std::min(load.received_dispatches(), this->dispatches_sent_in_session_);
    this->view_.dispatched_since_report =
        static_cast<unsigned>(this->dispatches_sent_in_session_ - received);
    this->notify_load_changed();
}

void agent_session::apply_actions(std::vector<policy::tracker_action> actions)
{
    for (auto& action : actions) {
        std::visit([this](auto& it) { this->apply_action(it); }, action);
    }
}

void agent_session::apply_action(policy::deliver_head& action)
{
    this->actions_.add([this, id = action.id, head = to_http_head(action)] {
        if (const auto events = this->find_events(id); events && events->on_head) {
            events->on_head(head);
        }
    });
}

void agent_session::apply_action(policy::deliver_data& action)
{
    this->actions_.add([this, id = action.id, data = std::move(action.data)]() mutable {
        if (const auto events = this->find_events(id); events && events->on_data) {
            events->on_data(std::move(data));
        }
    });
}

void agent_session::apply_action(policy::request_resume& action)
{
    wire::frame frame;
    frame.mutable_resume()->set_dispatch_id(action.id);
    frame.mutable_resume()->set_next_chunk(action.next_chunk);
    this->ports_.send(std::move(frame));
}

void agent_session::apply_action(policy::dispatch_ended& action)
{
    this->actions_.add([this, ended = std::move(action)] {
        const auto events = this->take_events(ended.id);
        if (!events) {
            return;
        }
        if (ended.end == policy::dispatch_end::finished && events->on_finished) {
            events->on_finished();
        }
        else if (ended.end == policy::dispatch_end::refused && events->on_refused) {
            events->on_refused(ended.reason, ended.message);
        }
        else if (ended.end == policy::dispatch_end::unknown && events->on_unknown) {
            events->on_unknown(ended.message);
        }
    });
    this->notify_load_changed();
}

void agent_session::notify_load_changed()
{
    if (this->events_.on_load_changed) {
        this->actions_.add(this->events_.on_load_changed);
    }
}

void agent_session::notify_config_frame(const wire::frame& frame)
{
    if (this->events_.on_config_frame) {
        this->actions_.add([fn = this->events_.on_config_frame, frame] { fn(frame); });
    }
}

std::shared_ptr<dispatch_events> agent_session::find_events(std::uint64_t id) const
{
    const std::scoped_lock lock(this->mutex_);
    const auto it = this->dispatch_events_.find(id);
    return it == this->dispatch_events_.end() ? nullptr : it->second;
}

std::shared_ptr<dispatch_events> agent_session::take_events(std::uint64_t id)
{
    const std::scoped_lock lock(this->mutex_);
    const auto it = this->dispatch_events_.find(id);
    if (it == this->dispatch_events_.end()) {
        return nullptr;
    }
    auto events = std::move(it->second);
    this->dispatch_events_.erase(it);
    return events;
}

void agent_session::post_actions()
{
    this->ports_.post([self = this->shared_from_this()] { self->actions_.run(); });
}

} // namespace medlaryoke::controllers
