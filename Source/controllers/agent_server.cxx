#include "controllers/agent_server.h"

#include <algorithm>
#include <unordered_set>

#include <fmt/format.h>

#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

/// A draining agent stays this long after its last answer, longer than an entry needs to find a
/// silent connection and to ask for the rest over a new one.
constexpr duration drain_linger = std::chrono::milliseconds(2500);

/// Shortest time between two requests for configuration records to one entry.
constexpr duration config_request_interval = std::chrono::milliseconds(200);

/// Shortest time between two sets of configuration records to one entry.
constexpr duration config_send_interval = std::chrono::seconds(1);

/// Status of an upstream that did not run a request because it has too many.
constexpr unsigned too_many_requests = 429;

/// Organisations named in a heartbeat.
constexpr std::size_t usage_per_heartbeat = 8;

/// Weight of the newest sample in the smoothed time to the first byte.
constexpr int latency_smoothing = 8;

const logger& log_of_agent()
{
    static const logger instance("agent");
    return instance;
}

bool is_due(const std::optional<time_point>& last, duration interval, time_point now)
{
    return !last || now - *last >= interval;
}

std::string content_type_of(const transport::http_head& head)
{
    const auto value = transport::find_header(head.headers, "Content-Type");
    return value.empty() ? "application/octet-stream" : std::string(value);
}

} // namespace

agent_server::agent_server(const clock_source& clock, agent_server_options options,
                           agent_server_ports ports, upstream_service& upstream,
                           claim_service& claims)
    : clock_(clock), options_(std::move(options)), ports_(std::move(ports)), upstream_(upstream),
      claims_(claims), admission_(this->options_.admission)
{
}

void agent_server::on_frame(const transport::connection_id& connection, const wire::frame& frame)
{
    {
        const std::scoped_lock lock(this->mutex_);
        this->handle(connection, frame);
    }
    this->actions_.run();
}

void agent_server::tick()
{
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        for (const auto number : this->admission_.expire(now)) {
            if (auto* target = this->find(number)) {
                this->refuse(*target, wire::REFUSAL_REASON_DEADLINE,
                             "the deadline passed while the request waited at the agent");
            }
        }
        for (auto it = this->entries_.begin(); it != this->entries_.end();) {
            const auto current = it++;
            if (now - current->second.heard >= this->options_.entry_grace) {
                log_of_agent().warning("Entry {} is silent; its work is cancelled.",
                                       current->second.instance);
                this->abandon_all(current->first, {});
                this->connections_.erase(current->second.connection);
                this->entries_.erase(current);
            }
        }
        for (auto it = this->runs_.begin(); it != this->runs_.end();) {
            const auto current = it++;
            auto& target = current->second;
            if (target.state == run_state::ended &&
                now - target.ended >= this->options_.answer_retention) {
                this->forget(current);
            }
            else if (target.state == run_state::running && !target.ticket &&
                     target.deadline <= now) {
                if (target.call) {
                    this->later([call = target.call] { call->cancel(); });
                }
                this->release_slot(target, slot_outcome::abandoned);
                this->fail(target, "the deadline passed while the request ran");
            }
        }
        this->start_waiting();
    }
    this->actions_.run();
}

void agent_server::send_heartbeats()
{
    const std::scoped_lock lock(this->mutex_);
    const auto usage = this->usage_.heaviest(usage_per_heartbeat, this->clock_.now());
    for (const auto& [entry, peer] : this->entries_) {
        this->send_heartbeat(entry, peer, usage);
    }
}

void agent_server::set_leaving(bool leaving)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->leaving_ == leaving) {
        return;
    }
    this->leaving_ = leaving;
    for (const auto& [entry, peer] : this->entries_) {
        this->send_heartbeat(entry, peer, {});
    }
}

void agent_server::set_upstream_up(bool up)
{
    const std::scoped_lock lock(this->mutex_);
    this->upstream_up_ = up;
}

void agent_server::set_priorities(const std::vector<policy::priority_rule>& priorities)
{
    const std::scoped_lock lock(this->mutex_);
    this->admission_.set_priorities(priorities);
}

bool agent_server::drained() const
{
    if (this->claims_.pending() > 0) {
        return false;
    }
    const std::scoped_lock lock(this->mutex_);
    const bool busy = std::ranges::any_of(
        this->runs_, [](const auto& item) { return item.second.state != run_state::ended; });
    return this->leaving_ && !busy &&
           (this->runs_.empty() || this->clock_.now() - this->last_end_ >= drain_linger);
}

agent_server_counts agent_server::counts() const
{
    const std::scoped_lock lock(this->mutex_);
    auto counts = this->counts_;
    counts.entries = this->entries_.size();
    counts.replay_bytes = this->replay_bytes_;
    counts.load = this->load_for(0);
    return counts;
}

void agent_server::handle(const transport::connection_id& connection, const wire::frame& frame)
{
    if (frame.has_hello()) {
        this->on_hello(connection, frame.hello());
        return;
    }
    const auto it = this->connections_.find(connection);
    if (it != this->connections_.end()) {
        this->handle_of_session(it->second, connection, frame);
        return;
    }
    // Session number 0 tells the entry that this agent knows no session on the connection.
    wire::frame reply;
    reply.mutable_welcome()->set_agent_incarnation(this->options_.incarnation);
    this->ports_.send(connection, std::move(reply));
}

void agent_server::handle_of_session(std::uint64_t entry,
                                     const transport::connection_id& connection,
                                     const wire::frame& frame)
{
    auto& peer = this->entries_.at(entry);
    peer.heard = this->clock_.now();
    switch (frame.body_case()) {
    case wire::frame::kDispatch:
        this->on_dispatch(entry, frame.dispatch());
        break;
    case wire::frame::kCancel:
        if (auto* target = this->find({entry, frame.cancel().dispatch_id()})) {
            this->abandon(*target);
        }
        break;
    case wire::frame::kResume:
        this->on_resume(entry, frame.resume());
        break;
    case wire::frame::kHeartbeat:
        this->on_heartbeat(entry, frame.heartbeat());
        break;
    case wire::frame::kConfigRequest: {
        wire::frame reply;
        *reply.mutable_config_records() =
            this->ports_.config_records_from(frame.config_request().from_offset());
        this->send(entry, std::move(reply));
        break;
    }
    case wire::frame::kConfigRecords:
        this->later(
            [this, records = frame.config_records()] { this->ports_.fold_config(records); });
        break;
    case wire::frame::kProtocolError:
        log_of_agent().warning("Entry {} reports an error: {} {}", peer.instance,
                               frame.protocol_error().message(), frame.protocol_error().remedy());
        break;
    default:
        if (this->ports_.on_other_frame) {
            this->later(
                [this, connection, frame] { this->ports_.on_other_frame(connection, frame); });
        }
    }
}

void agent_server::on_hello(const transport::connection_id& connection, const wire::hello& hello)
{
    const auto entry = hello.session().entry_incarnation();
    const auto opening = this->fence_.open(entry, hello.session().number());
    if (opening == policy::session_opening::fenced) {
        return;
    }
    if (opening == policy::session_opening::no_capacity) {
        wire::frame reply;
        reply.mutable_protocol_error()->set_message(
            fmt::format("agent {} remembers {} entries and can take no further one",
                        this->options_.instance, this->fence_.size()));
        reply.mutable_protocol_error()->set_remedy("Restart the agent.");
        this->ports_.send(connection, std::move(reply));
        return;
    }
    auto& peer = this->entries_[entry];
    this->connections_.erase(peer.connection);
    this->connections_[connection] = entry;
    peer.connection = connection;
    peer.session = hello.session().number();
    peer.instance = hello.instance();
    peer.heard = this->clock_.now();
    peer.received_dispatches = 0;
    this->abandon_all(entry, {hello.in_flight().begin(), hello.in_flight().end()});
    wire::frame reply;
    auto* welcome = reply.mutable_welcome();
    *welcome->mutable_session() = hello.session();
    welcome->set_agent_incarnation(this->options_.incarnation);
    welcome->set_instance(this->options_.instance);
    welcome->set_data_centre(this->options_.data_centre);
    welcome->set_config_offset(this->ports_.config_offset());
    for (const auto id : hello.in_flight()) {
        *welcome->add_reports() = this->report_of(entry, id);
    }
    *welcome->mutable_load() = this->load_for(entry);
    this->send(entry, std::move(reply));
    this->compare_offsets(entry, hello.config_offset(), true);
}

wire::dispatch_report agent_server::report_of(std::uint64_t entry, std::uint64_t dispatch_id)
{
    wire::dispatch_report report;
    report.set_dispatch_id(dispatch_id);
    if (auto* target = this->find({entry, dispatch_id})) {
        target->paused = true;
        report.set_next_chunk(target->next_chunk);
        if (target->state == run_state::ended) {
            report.set_state(wire::DISPATCH_STATE_ENDED);
        }
        else {
            report.set_state(target->state == run_state::queued ? wire::DISPATCH_STATE_QUEUED
                                                                : wire::DISPATCH_STATE_RUNNING);
        }
    }
    else {
        report.set_state(this->fence_.never_received(entry, dispatch_id)
                             ? wire::DISPATCH_STATE_NEVER_RECEIVED
                             : wire::DISPATCH_STATE_ENDED);
    }
    return report;
}

void agent_server::on_dispatch(std::uint64_t entry, const wire::dispatch& dispatch)
{
    if (dispatch.session().entry_incarnation() != entry ||
        !this->fence_.receive(entry, dispatch.session().number(), dispatch.dispatch_id())) {
        return;
    }
    const auto now = this->clock_.now();
    ++this->entries_.at(entry).received_dispatches;
    this->compare_offsets(entry, dispatch.config_offset(), false);
    const auto number = this->next_run_++;
    const dispatch_key key{entry, dispatch.dispatch_id()};
    auto& target = this->runs_[number];
    this->run_of_[key] = number;
    target.number = number;
    target.key = key;
    target.request = dispatch;
    target.deadline = now + std::chrono::microseconds(static_cast<std::int64_t>(
                                std::min<std::uint64_t>(dispatch.timeout_us(), 86'400'000'000)));
    if (const auto reason = this->reason_to_refuse(dispatch)) {
        this->refuse(target, reason->first, reason->second);
        return;
    }
    const auto result =
        this->admission_.offer({.id = number,
                                .priority = dispatch.priority(),
                                .organisation = dispatch.organisation(),
                                .share = dispatch.share() > 0 ? dispatch.share() : 1,
                                .cost = std::max(1.0, static_cast<double>(dispatch.cost())),
                                .deadline = target.deadline},
                               now);
    if (result.start_now) {
        this->start(target);
        return;
    }
    for (const auto refused : result.refused) {
        if (auto* it = this->find(refused)) {
            this->refuse(*it, wire::REFUSAL_REASON_OVERLOADED,
                         fmt::format("the queue of agent {} is full", this->options_.instance));
        }
    }
    if (target.state == run_state::queued) {
        wire::frame reply;
        reply.mutable_accepted()->set_dispatch_id(dispatch.dispatch_id());
        reply.mutable_accepted()->set_queued(true);
        this->send(entry, std::move(reply));
    }
}

std::optional<std::pair<wire::refusal_reason, std::string>>
agent_server::reason_to_refuse(const wire::dispatch& dispatch) const
{
    if (dispatch.agent_incarnation() != this->options_.incarnation) {
        return std::pair(wire::REFUSAL_REASON_WRONG_INCARNATION,
                         std::string("the dispatch names an earlier incarnation of the agent"));
    }
    if (this->leaving_) {
        return std::pair(wire::REFUSAL_REASON_LEAVING,
                         fmt::format("agent {} takes no new work", this->options_.instance));
    }
    if (dispatch.service() != this->options_.serves) {
        return std::pair(wire::REFUSAL_REASON_WRONG_SERVICE,
                         fmt::format("agent {} serves {}, not {}", this->options_.instance,
                                     this->options_.serves, dispatch.service()));
    }
    if (dispatch.timeout_us() == 0) {
        return std::pair(wire::REFUSAL_REASON_DEADLINE,
                         std::string("the deadline passed before the dispatch arrived"));
    }
    return std::nullopt;
}

void agent_server::on_resume(std::uint64_t entry, const wire::resume& resume)
{
    auto* target = this->find({entry, resume.dispatch_id()});
    const auto first_held =
        target == nullptr ? 0
                          : target->next_chunk - static_cast<std::uint32_t>(target->chunks.size());
    if (target == nullptr || resume.next_chunk() < first_held) {
        wire::frame reply;
        reply.mutable_failed()->set_dispatch_id(resume.dispatch_id());
        reply.mutable_failed()->set_message("the agent no longer holds the rest of the answer");
        this->send(entry, std::move(reply));
        if (target != nullptr) {
            this->abandon(*target);
        }
        return;
    }
    ++this->counts_.resumed;
    target->paused = false;
    for (const auto& chunk : target->chunks) {
        if (chunk.sequence() >= resume.next_chunk()) {
            wire::frame frame;
            *frame.mutable_chunk() = chunk;
            this->send(entry, std::move(frame));
        }
    }
    if (target->end) {
        this->send(entry, *target->end);
    }
}

void agent_server::on_heartbeat(std::uint64_t entry, const wire::heartbeat& heartbeat)
{
    this->compare_offsets(entry, heartbeat.config_offset(), true);
}

void agent_server::compare_offsets(std::uint64_t entry, std::uint64_t config_offset, bool may_send)
{
    auto& peer = this->entries_.at(entry);
    peer.config_offset = std::max(peer.config_offset, config_offset);
    const auto own = this->ports_.config_offset();
    const auto now = this->clock_.now();
    if (config_offset > own && is_due(peer.config_requested, config_request_interval, now)) {
        peer.config_requested = now;
        wire::frame frame;
        frame.mutable_config_request()->set_from_offset(own + 1);
        this->send(entry, std::move(frame));
    }
    else if (may_send && config_offset < own &&
             is_due(peer.config_sent, config_send_interval, now)) {
        peer.config_sent = now;
        wire::frame frame;
        *frame.mutable_config_records() = this->ports_.config_records_from(config_offset + 1);
        this->send(entry, std::move(frame));
    }
}

void agent_server::start(run& target)
{
    ++this->counts_.started;
    this->usage_.add(target.request.organisation(),
                     std::max(1.0, static_cast<double>(target.request.cost())), this->clock_.now());
    if (target.request.idempotent()) {
        this->run_at_upstream(target);
        return;
    }
    target.state = run_state::claiming;
    this->later([this, number = target.number, request = target.request] {
        this->claims_.claim(request,
                            [weak = this->weak_from_this(), number](const claim_answer& answer) {
                                if (const auto self = weak.lock()) {
                                    self->on_claim(number, answer);
                                }
                            });
    });
}

void agent_server::start_waiting()
{
    while (const auto number = this->admission_.next(this->clock_.now())) {
        const auto found = number.value_or(0); // runs are numbered from 1
        if (auto* target = this->find(found)) {
            this->start(*target);
        }
        else {
            this->admission_.release({}, slot_outcome::abandoned);
        }
    }
}

void agent_server::on_claim(std::uint64_t number, const claim_answer& answer)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* target = this->find(number);
        if (target == nullptr) {
            return;
        }
        const bool late = target->deadline <= this->clock_.now();
        if (answer.verdict == claim_verdict::run && !target->abandoned && !late) {
            target->ticket = answer.ticket;
            this->run_at_upstream(*target);
        }
        else {
            this->release_slot(*target, slot_outcome::abandoned);
            switch (answer.verdict) {
            case claim_verdict::run:
                target->ticket = answer.ticket;
                this->give_back(*target, wire::REFUSAL_REASON_DEADLINE,
                                "the deadline passed while the key was claimed");
                break;
            case claim_verdict::repeated:
                this->answer_from_memory(*target, answer.completion);
                break;
            case claim_verdict::in_progress:
                this->fail(*target, answer.message, true);
                break;
            case claim_verdict::conflict:
                this->refuse(*target, wire::REFUSAL_REASON_KEY_CONFLICT, answer.message);
                break;
            case claim_verdict::expired:
                this->refuse(*target, wire::REFUSAL_REASON_KEY_EXPIRED, answer.message);
                break;
            case claim_verdict::unavailable:
                this->refuse(*target, wire::REFUSAL_REASON_CLAIM_UNAVAILABLE, answer.message);
                break;
            }
            this->start_waiting();
        }
    }
    this->actions_.run();
}

void agent_server::run_at_upstream(run& target)
{
    target.state = run_state::running;
    target.started = this->clock_.now();
    const auto number = target.number;
    const auto time_left = target.deadline - this->clock_.now();
    const auto guarded = [weak = this->weak_from_this()](auto fn) {
        return [weak, fn](auto&&... args) {
            if (const auto self = weak.lock()) {
                fn(*self, std::forward<decltype(args)>(args)...);
            }
        };
    };
    upstream_events events;
    events.on_head = guarded([number](agent_server& self, const transport::http_head& head) {
        self.on_upstream_head(number, head);
    });
    events.on_data = guarded([number](agent_server& self, std::string data) {
        self.on_upstream_data(number, std::move(data));
    });
    events.on_end = guarded([number](agent_server& self) { self.on_upstream_end(number); });
    events.on_failure =
        guarded([number](agent_server& self, bool maybe_run, const std::string& message) {
            self.on_upstream_failure(number, maybe_run, message);
        });
    this->later(
        [this, number, time_left, events = std::move(events), request = std::move(target.request)] {
            {
                const std::scoped_lock lock(this->mutex_);
                const auto* it = this->find(number);
                if (it == nullptr || it->state != run_state::running) {
                    return;
                }
            }
            auto call = this->upstream_.start(request, time_left, events);
            const std::scoped_lock lock(this->mutex_);
            auto* it = this->find(number);
            if (it != nullptr && it->state == run_state::running) {
                it->call = std::move(call);
            }
            else if (call) {
                this->later([call = std::move(call)] { call->cancel(); });
            }
        });
}

void agent_server::on_upstream_head(std::uint64_t number, const transport::http_head& head)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* target = this->find(number);
        if (target == nullptr || target->state != run_state::running) {
            return;
        }
        this->upstream_up_ = true;
        if (head.status == too_many_requests) {
            if (target->call) {
                this->later([call = target->call] { call->cancel(); });
            }
            this->release_slot(*target, slot_outcome::overloaded);
            this->give_back(*target, wire::REFUSAL_REASON_OVERLOADED,
                            "the upstream is overloaded and did not run the request");
            this->start_waiting();
        }
        else {
            this->begin_answer(*target, head);
        }
    }
    this->actions_.run();
}

void agent_server::begin_answer(run& target, const transport::http_head& head)
{
    const auto latency = this->clock_.now() - target.started;
    target.latency = latency;
    this->first_byte_latency_ += (latency - this->first_byte_latency_) / latency_smoothing;
    target.answer.status = head.status;
    target.answer.content_type = content_type_of(head);
    target.answer.body = std::string();
    wire::chunk chunk;
    chunk.set_status(head.status);
    for (const auto& it : head.headers) {
        auto* field = chunk.add_headers();
        field->set_name(it.name);
        field->set_value(it.value);
    }
    this->add_chunk(target, std::move(chunk));
}

void agent_server::on_upstream_data(std::uint64_t number, std::string data)
{
    const std::scoped_lock lock(this->mutex_);
    auto* target = this->find(number);
    if (target == nullptr || target->state != run_state::running || data.empty()) {
        return;
    }
    if (target->ticket && target->answer.body) {
        if (target->answer.body->size() + data.size() <= max_remembered_body) {
            *target->answer.body += data;
        }
        else {
            target->answer.body.reset();
        }
    }
    wire::chunk chunk;
    chunk.set_data(std::move(data));
    this->add_chunk(*target, std::move(chunk));
}

void agent_server::on_upstream_end(std::uint64_t number)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* target = this->find(number);
        if (target == nullptr || target->state != run_state::running) {
            return;
        }
        if (target->ticket) {
            this->later([this, ticket = *target->ticket, answer = std::move(target->answer)] {
                this->claims_.complete(ticket, answer);
            });
        }
        this->release_slot(*target, slot_outcome::answered);
        this->finish(*target, false);
        this->start_waiting();
    }
    this->actions_.run();
}

void agent_server::on_upstream_failure(std::uint64_t number, bool maybe_run,
                                       const std::string& message)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* target = this->find(number);
        if (target == nullptr || target->state != run_state::running) {
            return;
        }
        this->release_slot(*target, slot_outcome::failed);
        if (maybe_run || target->next_chunk > 0) {
            this->fail(*target, message);
        }
        else {
            this->upstream_up_ = false;
            this->give_back(*target, wire::REFUSAL_REASON_UPSTREAM_DOWN, message);
        }
        this->start_waiting();
    }
    this->actions_.run();
}

void agent_server::answer_from_memory(run& target, const wire::completion& completion)
{
    if (body_was_omitted(completion)) {
        this->fail(target, fmt::format("the request ran before and was answered with status {}; "
                                       "the answer was too large to be kept",
                                       completion.status()));
        return;
    }
    wire::chunk chunk;
    chunk.set_status(completion.status());
    if (!completion.content_type().empty()) {
        chunk.add_headers()->set_name("Content-Type");
        chunk.mutable_headers(0)->set_value(completion.content_type());
    }
    chunk.set_data(completion.response());
    this->add_chunk(target, std::move(chunk));
    this->finish(target, true);
}

void agent_server::add_chunk(run& target, wire::chunk chunk)
{
    chunk.set_dispatch_id(target.key.second);
    chunk.set_sequence(target.next_chunk++);
    target.digest.update(chunk.data());
    if (target.abandoned) {
        return;
    }
    wire::frame frame;
    *frame.mutable_chunk() = chunk;
    this->send_to_entry(target, std::move(frame));
    target.chunk_bytes += chunk.data().size();
    this->replay_bytes_ += chunk.data().size();
    target.chunks.push_back(std::move(chunk));
    this->trim_replay(target);
}

void agent_server::trim_replay(run& target)
{
    const auto drop_first = [this](run& it) {
        const auto bytes = it.chunks.front().data().size();
        it.chunk_bytes -= bytes;
        this->replay_bytes_ -= bytes;
        it.chunks.pop_front();
    };
    while (target.chunk_bytes > this->options_.max_replay_bytes) {
        drop_first(target);
    }
    for (auto& [number, it] : this->runs_) {
        if (this->replay_bytes_ <= this->options_.max_total_replay_bytes) {
            return;
        }
        while (it.state == run_state::ended && !it.chunks.empty()) {
            drop_first(it);
        }
    }
    while (this->replay_bytes_ > this->options_.max_total_replay_bytes && !target.chunks.empty()) {
        drop_first(target);
    }
}

void agent_server::finish(run& target, bool from_memory)
{
    ++this->counts_.finished;
    wire::frame frame;
    auto* finished = frame.mutable_finished();
    finished->set_dispatch_id(target.key.second);
    finished->set_chunk_count(target.next_chunk);
    finished->set_digest(target.digest.value());
    finished->set_from_memory(from_memory);
    *finished->mutable_load() = this->load_for(target.key.first);
    this->end_run(target, std::move(frame));
}

void agent_server::refuse(run& target, wire::refusal_reason reason, const std::string& message)
{
    ++this->counts_.refused;
    wire::frame frame;
    auto* refused = frame.mutable_refused();
    refused->set_dispatch_id(target.key.second);
    refused->set_reason(reason);
    refused->set_message(message);
    *refused->mutable_load() = this->load_for(target.key.first);
    this->end_run(target, std::move(frame));
}

void agent_server::fail(run& target, const std::string& message, bool in_progress)
{
    ++this->counts_.failed;
    wire::frame frame;
    auto* failed = frame.mutable_failed();
    failed->set_dispatch_id(target.key.second);
    failed->set_message(message);
    failed->set_in_progress(in_progress);
    *failed->mutable_load() = this->load_for(target.key.first);
    this->end_run(target, std::move(frame));
}

void agent_server::end_run(run& target, wire::frame frame)
{
    target.state = run_state::ended;
    target.ended = this->clock_.now();
    target.call.reset();
    target.request.Clear();
    this->last_end_ = target.ended;
    if (target.abandoned) {
        this->forget(this->runs_.find(target.number));
        return;
    }
    this->send_to_entry(target, frame);
    target.end = std::move(frame);
}

void agent_server::release_slot(const run& target, slot_outcome outcome)
{
    this->admission_.release(target.latency, outcome);
}

void agent_server::give_back(run& target, wire::refusal_reason reason, const std::string& message)
{
    if (!target.ticket) {
        this->refuse(target, reason, message);
        return;
    }
    target.state = run_state::claiming;
    target.call.reset();
    this->later([this, ticket = *target.ticket, number = target.number, reason, message] {
        // The refusal follows the release, so that a retry elsewhere finds the key free.
        this->claims_.release(ticket, [weak = this->weak_from_this(), number, reason, message] {
            if (const auto self = weak.lock()) {
                const std::scoped_lock lock(self->mutex_);
                if (auto* it = self->find(number)) {
                    self->refuse(*it, reason, message);
                }
            }
        });
    });
}

void agent_server::abandon(run& target)
{
    if (target.abandoned) {
        return;
    }
    target.abandoned = true;
    if (target.state != run_state::ended) {
        ++this->counts_.cancelled;
    }
    switch (target.state) {
    case run_state::queued:
        this->admission_.remove(target.number);
        break;
    case run_state::running:
        if (target.ticket) {
            return; // it cannot be undone, so it runs to its end and its answer is remembered
        }
        if (target.call) {
            this->later([call = target.call] { call->cancel(); });
        }
        this->release_slot(target, slot_outcome::abandoned);
        break;
    case run_state::claiming:
        return; // on_claim gives the claim back
    case run_state::ended:
        break;
    }
    this->forget(this->runs_.find(target.number));
    this->start_waiting();
}

void agent_server::abandon_all(std::uint64_t entry, const std::vector<std::uint64_t>& except)
{
    const std::unordered_set<std::uint64_t> kept(except.begin(), except.end());
    std::vector<std::uint64_t> numbers;
    for (auto it = this->run_of_.lower_bound({entry, 0});
         it != this->run_of_.end() && it->first.first == entry; ++it) {
        if (!kept.contains(it->first.second)) {
            numbers.push_back(it->second);
        }
    }
    for (const auto number : numbers) {
        if (auto* target = this->find(number)) {
            this->abandon(*target);
        }
    }
}

void agent_server::forget(run_map::iterator it)
{
    this->replay_bytes_ -= it->second.chunk_bytes;
    this->run_of_.erase(it->second.key);
    this->runs_.erase(it);
}

void agent_server::send_to_entry(const run& target, wire::frame frame)
{
    if (!target.paused && !target.abandoned) {
        this->send(target.key.first, std::move(frame));
    }
}

void agent_server::send(std::uint64_t entry, wire::frame frame)
{
    if (const auto it = this->entries_.find(entry); it != this->entries_.end()) {
        this->ports_.send(it->second.connection, std::move(frame));
    }
}

void agent_server::send_heartbeat(std::uint64_t entry, const entry_peer& peer,
                                  const std::vector<wire::organisation_usage>& usage)
{
    wire::frame frame;
    auto* heartbeat = frame.mutable_heartbeat();
    heartbeat->set_sent_at_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->clock_.now().time_since_epoch())
            .count()));
    heartbeat->set_config_offset(this->ports_.config_offset());
    heartbeat->set_confirmed_offset(heartbeat->config_offset());
    *heartbeat->mutable_load() = this->load_for(entry);
    for (const auto& it : usage) {
        *heartbeat->add_usage() = it;
    }
    this->ports_.send(peer.connection, std::move(frame));
}

wire::load_report agent_server::load_for(std::uint64_t entry) const
{
    wire::load_report load;
    load.set_running(this->admission_.running());
    load.set_queued(static_cast<std::uint32_t>(this->admission_.queued()));
    load.set_limit(this->admission_.limit());
    load.set_latency_us(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->first_byte_latency_).count()));
    load.set_leaving(this->leaving_);
    load.set_upstream_up(this->upstream_up_);
    if (const auto it = this->entries_.find(entry); it != this->entries_.end()) {
        load.set_received_dispatches(it->second.received_dispatches);
    }
    return load;
}

agent_server::run* agent_server::find(std::uint64_t number)
{
    const auto it = this->runs_.find(number);
    return it == this->runs_.end() ? nullptr : &it->second;
}

agent_server::run* agent_server::find(const dispatch_key& key)
{
    const auto it = this->run_of_.find(key);
    return it == this->run_of_.end() ? nullptr : this->find(it->second);
}

} // namespace medlaryoke::controllers
