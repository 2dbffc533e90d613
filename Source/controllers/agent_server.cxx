#include "controllers/agent_server.h"

#include <algorithm>
#include <unordered_set>

#include <fmt/format.h>

#include "base/logging.h"

namespace medlaryoke::controllers {

namespace {

/// Time that a draining agent keeps running after its last answer. It is longer than an entry needs
/// to detect a silent connection and to request the rest of the answer over a new one.
constexpr duration drain_linger = std::chrono::milliseconds(2500);

/// Minimum interval between two requests to one entry for configuration records.
constexpr duration min_config_request_interval = std::chrono::milliseconds(200);

/// Minimum interval between two messages with configuration records to one entry.
constexpr duration min_config_send_interval = std::chrono::seconds(1);

/// HTTP status of an upstream that rejected a request because it is overloaded.
constexpr unsigned status_too_many_requests = 429;

/// Maximum number of organisations whose usage a heartbeat reports; those with most usage go first.
constexpr std::size_t max_organisations_per_heartbeat = 8;

/// The newest time to the first byte has the weight 1 / latency_smoothing_divisor in the moving
/// average.
constexpr int latency_smoothing_divisor = 8;

const logger& agent_log()
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
        this->handle_frame(connection, frame);
    }
    this->actions_.run();
}

void agent_server::tick()
{
    {
        const std::scoped_lock lock(this->mutex_);
        const auto now = this->clock_.now();
        for (const auto number : this->admission_.remove_expired(now)) {
            if (auto* run = this->find_run(number)) {
                this->refuse(*run, wire::REFUSAL_REASON_DEADLINE,
                             "the deadline passed while the request waited at the agent");
            }
        }
        for (auto it = this->entries_.begin(); it != this->entries_.end();) {
            const auto current = it++;
            if (now - current->second.last_received_at >= this->options_.entry_silence_timeout) {
                agent_log().warning(
                    "Entry {} has sent no frame for too long; its requests are cancelled.",
                    current->second.instance);
                this->abandon_all(current->first, {});
                this->connections_.erase(current->second.connection);
                this->entries_.erase(current);
            }
        }
        for (auto it = this->runs_.begin(); it != this->runs_.end();) {
            const auto current = it++;
            auto& run = current->second;
            if (run.state == run_state::ended &&
                now - run.ended_at >= this->options_.answer_retention) {
                this->erase_run(current);
            }
            else if (run.state == run_state::running && !run.ticket && run.deadline <= now) {
                if (run.call) {
                    this->defer([call = run.call] { call->cancel(); });
                }
                this->release_slot(run, slot_outcome::abandoned);
                this->fail(run, "the deadline passed while the request ran");
            }
        }
        this->start_queued_runs();
    }
    this->actions_.run();
}

void agent_server::send_heartbeats()
{
    const std::scoped_lock lock(this->mutex_);
    const auto usage =
        this->usage_.top_organisations(max_organisations_per_heartbeat, this->clock_.now());
    for (const auto& [entry_incarnation, session] : this->entries_) {
        this->send_heartbeat(entry_incarnation, session, usage);
    }
}

void agent_server::set_leaving(bool leaving)
{
    const std::scoped_lock lock(this->mutex_);
    if (this->leaving_ == leaving) {
        return;
    }
    this->leaving_ = leaving;
    for (const auto& [entry_incarnation, session] : this->entries_) {
        this->send_heartbeat(entry_incarnation, session, {});
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
           (this->runs_.empty() || this->clock_.now() - this->last_ended_at_ >= drain_linger);
}

agent_server_counts agent_server::counts() const
{
    const std::scoped_lock lock(this->mutex_);
    auto counts = this->counts_;
    counts.entries = this->entries_.size();
    counts.replay_bytes = this->replay_bytes_;
    counts.load = this->load_report_for(0);
    return counts;
}

void agent_server::handle_frame(const transport::connection_id& connection,
                                const wire::frame& frame)
{
    if (frame.has_hello()) {
        this->on_hello(connection, frame.hello());
        return;
    }
    const auto it = this->connections_.find(connection);
    if (it != this->connections_.end()) {
        this->handle_session_frame(it->second, connection, frame);
        return;
    }
    // Session number 0 tells the entry that no session is open on this connection.
    wire::frame reply;
    reply.mutable_welcome()->set_agent_incarnation(this->options_.incarnation);
    this->ports_.send(connection, std::move(reply));
}

void agent_server::handle_session_frame(std::uint64_t entry_incarnation,
                                        const transport::connection_id& connection,
                                        const wire::frame& frame)
{
    auto& session = this->entries_.at(entry_incarnation);
    session.last_received_at = this->clock_.now();
    switch (frame.body_case()) {
    case wire::frame::kDispatch:
        this->on_dispatch(entry_incarnation, frame.dispatch());
        break;
    case wire::frame::kCancel:
        if (auto* run = this->find_run({entry_incarnation, frame.cancel().dispatch_id()})) {
            this->abandon(*run);
        }
        break;
    case wire::frame::kResume:
        this->on_resume(entry_incarnation, frame.resume());
        break;
    case wire::frame::kHeartbeat:
        this->on_heartbeat(entry_incarnation, frame.heartbeat());
        break;
    case wire::frame::kConfigRequest: {
        wire::frame reply;
        *reply.mutable_config_records() =
            this->ports_.config_records_from(frame.config_request().from_offset());
        this->send_to_entry(entry_incarnation, std::move(reply));
        break;
    }
    case wire::frame::kConfigRecords:
        this->defer([this, records = frame.config_records()] {
            this->ports_.apply_config_records(records);
        });
        break;
    case wire::frame::kProtocolError:
        agent_log().warning("Entry {} reported a protocol error: {} {}", session.instance,
                            frame.protocol_error().message(), frame.protocol_error().remedy());
        break;
    default:
        if (this->ports_.on_other_frame) {
            this->defer(
                [this, connection, frame] { this->ports_.on_other_frame(connection, frame); });
        }
    }
}

void agent_server::on_hello(const transport::connection_id& connection, const wire::hello& hello)
{
    const auto entry_incarnation = hello.session().entry_incarnation();
    const auto opening = this->fence_.open(entry_incarnation, hello.session().number());
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
    auto& session = this->entries_[entry_incarnation];
    this->connections_.erase(session.connection);
    this->connections_[connection] = entry_incarnation;
    session.connection = connection;
    session.session_number = hello.session().number();
    session.instance = hello.instance();
    session.last_received_at = this->clock_.now();
    session.received_dispatches = 0;
    this->abandon_all(entry_incarnation, {hello.in_flight().begin(), hello.in_flight().end()});
    wire::frame reply;
    auto* welcome = reply.mutable_welcome();
    *welcome->mutable_session() = hello.session();
    welcome->set_agent_incarnation(this->options_.incarnation);
    welcome->set_instance(this->options_.instance);
    welcome->set_data_centre(this->options_.data_centre);
    welcome->set_config_offset(this->ports_.config_offset());
    for (const auto id : hello.in_flight()) {
        *welcome->add_reports() = this->suspend_and_report(entry_incarnation, id);
    }
    *welcome->mutable_load() = this->load_report_for(entry_incarnation);
    this->send_to_entry(entry_incarnation, std::move(reply));
    this->synchronise_config(entry_incarnation, hello.config_offset(), true);
}

wire::dispatch_report agent_server::suspend_and_report(std::uint64_t entry_incarnation,
                                                       std::uint64_t dispatch_id)
{
    wire::dispatch_report report;
    report.set_dispatch_id(dispatch_id);
    if (auto* run = this->find_run({entry_incarnation, dispatch_id})) {
        run->awaiting_resume = true;
        report.set_next_chunk(run->next_chunk);
        if (run->state == run_state::ended) {
            report.set_state(wire::DISPATCH_STATE_ENDED);
        }
        else {
            report.set_state(run->state == run_state::queued ? wire::DISPATCH_STATE_QUEUED
                                                             : wire::DISPATCH_STATE_RUNNING);
        }
    }
    else {
        report.set_state(this->fence_.never_received(entry_incarnation, dispatch_id)
                             ? wire::DISPATCH_STATE_NEVER_RECEIVED
                             : wire::DISPATCH_STATE_ENDED);
    }
    return report;
}

void agent_server::on_dispatch(std::uint64_t entry_incarnation, const wire::dispatch& dispatch)
{
    if (dispatch.session().entry_incarnation() != entry_incarnation ||
        !this->fence_.receive(entry_incarnation, dispatch.session().number(),
                              dispatch.dispatch_id())) {
        return;
    }
    const auto now = this->clock_.now();
    ++this->entries_.at(entry_incarnation).received_dispatches;
    this->synchronise_config(entry_incarnation, dispatch.config_offset(), false);
    const auto number = this->next_run_number_++;
    const dispatch_key key{entry_incarnation, dispatch.dispatch_id()};
    auto& run = this->runs_[number];
    this->run_numbers_[key] = number;
    run.number = number;
    run.key = key;
    run.request = dispatch;
    // A timeout of more than 24 h counts as 24 h.
    run.deadline = now + std::chrono::microseconds(static_cast<std::int64_t>(
                             std::min<std::uint64_t>(dispatch.timeout_us(), 86'400'000'000)));
    if (const auto reason = this->reason_to_refuse(dispatch)) {
        this->refuse(run, reason->first, reason->second);
        return;
    }
    const auto result = this->admission_.start_or_queue(
        {.id = number,
         .priority = dispatch.priority(),
         .organisation = dispatch.organisation(),
         .share = dispatch.share() > 0 ? dispatch.share() : 1,
         .cost = std::max(1.0, static_cast<double>(dispatch.cost())),
         .deadline = run.deadline},
        now);
    if (result.start_now) {
        this->start_run(run);
        return;
    }
    for (const auto refused : result.refused) {
        if (auto* it = this->find_run(refused)) {
            this->refuse(*it, wire::REFUSAL_REASON_OVERLOADED,
                         fmt::format("the queue of agent {} is full", this->options_.instance));
        }
    }
    if (run.state == run_state::queued) {
        wire::frame reply;
        reply.mutable_accepted()->set_dispatch_id(dispatch.dispatch_id());
        reply.mutable_accepted()->set_queued(true);
        this->send_to_entry(entry_incarnation, std::move(reply));
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

void agent_server::on_resume(std::uint64_t entry_incarnation, const wire::resume& resume)
{
    auto* run = this->find_run({entry_incarnation, resume.dispatch_id()});
    const auto first_kept_chunk =
        run == nullptr ? 0 : run->next_chunk - static_cast<std::uint32_t>(run->chunks.size());
    if (run == nullptr || resume.next_chunk() < first_kept_chunk) {
        wire::frame reply;
        reply.mutable_failed()->set_dispatch_id(resume.dispatch_id());
        reply.mutable_failed()->set_message("the agent no longer holds the rest of the answer");
        this->send_to_entry(entry_incarnation, std::move(reply));
        if (run != nullptr) {
            this->abandon(*run);
        }
        return;
    }
    ++this->counts_.resumed;
    run->awaiting_resume = false;
    for (const auto& chunk : run->chunks) {
        if (chunk.sequence() >= resume.next_chunk()) {
            wire::frame frame;
            *frame.mutable_chunk() = chunk;
            this->send_to_entry(entry_incarnation, std::move(frame));
        }
    }
    if (run->end_frame) {
        this->send_to_entry(entry_incarnation, *run->end_frame);
    }
}

void agent_server::on_heartbeat(std::uint64_t entry_incarnation, const wire::heartbeat& heartbeat)
{
    this->synchronise_config(entry_incarnation, heartbeat.config_offset(), true);
}

void agent_server::synchronise_config(std::uint64_t entry_incarnation, std::uint64_t config_offset,
                                      bool may_send_records)
{
    auto& session = this->entries_.at(entry_incarnation);
    session.config_offset = std::max(session.config_offset, config_offset);
    const auto own = this->ports_.config_offset();
    const auto now = this->clock_.now();
    if (config_offset > own &&
        is_due(session.config_requested_at, min_config_request_interval, now)) {
        session.config_requested_at = now;
        wire::frame frame;
        frame.mutable_config_request()->set_from_offset(own + 1);
        this->send_to_entry(entry_incarnation, std::move(frame));
    }
    else if (may_send_records && config_offset < own &&
             is_due(session.config_sent_at, min_config_send_interval, now)) {
        session.config_sent_at = now;
        wire::frame frame;
        *frame.mutable_config_records() = this->ports_.config_records_from(config_offset + 1);
        this->send_to_entry(entry_incarnation, std::move(frame));
    }
}

void agent_server::start_run(dispatch_run& run)
{
    ++this->counts_.started;
    this->usage_.add(run.request.organisation(),
                     std::max(1.0, static_cast<double>(run.request.cost())), this->clock_.now());
    if (run.request.idempotent()) {
        this->run_at_upstream(run);
        return;
    }
    run.state = run_state::claiming;
    this->defer([this, number = run.number, request = run.request] {
        this->claims_.claim(request,
                            [weak = this->weak_from_this(), number](const claim_answer& answer) {
                                if (const auto self = weak.lock()) {
                                    self->on_claim(number, answer);
                                }
                            });
    });
}

void agent_server::start_queued_runs()
{
    while (const auto number = this->admission_.start_next(this->clock_.now())) {
        const auto run_number = number.value_or(0); // runs are numbered from 1
        if (auto* run = this->find_run(run_number)) {
            this->start_run(*run);
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
        auto* run = this->find_run(number);
        if (run == nullptr) {
            return;
        }
        const bool deadline_passed = run->deadline <= this->clock_.now();
        if (answer.result == claim_result::run && !run->abandoned && !deadline_passed) {
            run->ticket = answer.ticket;
            this->run_at_upstream(*run);
        }
        else {
            this->release_slot(*run, slot_outcome::abandoned);
            switch (answer.result) {
            case claim_result::run:
                run->ticket = answer.ticket;
                this->release_claim_and_refuse(*run, wire::REFUSAL_REASON_DEADLINE,
                                               "the deadline passed while the key was claimed");
                break;
            case claim_result::repeated:
                this->answer_from_completion(*run, answer.completion);
                break;
            case claim_result::in_progress:
                this->fail(*run, answer.message, true);
                break;
            case claim_result::conflict:
                this->refuse(*run, wire::REFUSAL_REASON_KEY_CONFLICT, answer.message);
                break;
            case claim_result::expired:
                this->refuse(*run, wire::REFUSAL_REASON_KEY_EXPIRED, answer.message);
                break;
            case claim_result::unavailable:
                this->refuse(*run, wire::REFUSAL_REASON_CLAIM_UNAVAILABLE, answer.message);
                break;
            }
            this->start_queued_runs();
        }
    }
    this->actions_.run();
}

void agent_server::run_at_upstream(dispatch_run& run)
{
    run.state = run_state::running;
    run.started_at = this->clock_.now();
    const auto number = run.number;
    const auto time_left = run.deadline - this->clock_.now();
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
    this->defer(
        [this, number, time_left, events = std::move(events), request = std::move(run.request)] {
            {
                const std::scoped_lock lock(this->mutex_);
                const auto* it = this->find_run(number);
                if (it == nullptr || it->state != run_state::running) {
                    return;
                }
            }
            auto call = this->upstream_.start(request, time_left, events);
            const std::scoped_lock lock(this->mutex_);
            auto* it = this->find_run(number);
            if (it != nullptr && it->state == run_state::running) {
                it->call = std::move(call);
            }
            else if (call) {
                this->defer([call = std::move(call)] { call->cancel(); });
            }
        });
}

void agent_server::on_upstream_head(std::uint64_t number, const transport::http_head& head)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* run = this->find_run(number);
        if (run == nullptr || run->state != run_state::running) {
            return;
        }
        this->upstream_up_ = true;
        if (head.status == status_too_many_requests) {
            if (run->call) {
                this->defer([call = run->call] { call->cancel(); });
            }
            this->release_slot(*run, slot_outcome::overloaded);
            this->release_claim_and_refuse(
                *run, wire::REFUSAL_REASON_OVERLOADED,
                "the upstream is overloaded and did not run the request");
            this->start_queued_runs();
        }
        else {
            this->begin_answer(*run, head);
        }
    }
    this->actions_.run();
}

void agent_server::begin_answer(dispatch_run& run, const transport::http_head& head)
{
    const auto latency = this->clock_.now() - run.started_at;
    run.first_byte_latency = latency;
    this->smoothed_first_byte_latency_ +=
        (latency - this->smoothed_first_byte_latency_) / latency_smoothing_divisor;
    run.answer.status = head.status;
    run.answer.content_type = content_type_of(head);
    run.answer.body = std::string();
    wire::chunk chunk;
    chunk.set_status(head.status);
    for (const auto& it : head.headers) {
        auto* field = chunk.add_headers();
        field->set_name(it.name);
        field->set_value(it.value);
    }
    this->add_chunk(run, std::move(chunk));
}

void agent_server::on_upstream_data(std::uint64_t number, std::string data)
{
    const std::scoped_lock lock(this->mutex_);
    auto* run = this->find_run(number);
    if (run == nullptr || run->state != run_state::running || data.empty()) {
        return;
    }
    if (run->ticket && run->answer.body) {
        if (run->answer.body->size() + data.size() <= max_remembered_body_bytes) {
            *run->answer.body += data;
        }
        else {
            run->answer.body.reset();
        }
    }
    wire::chunk chunk;
    chunk.set_data(std::move(data));
    this->add_chunk(*run, std::move(chunk));
}

void agent_server::on_upstream_end(std::uint64_t number)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* run = this->find_run(number);
        if (run == nullptr || run->state != run_state::running) {
            return;
        }
        if (run->ticket) {
            this->defer([this, ticket = *run->ticket, answer = std::move(run->answer)] {
                this->claims_.complete(ticket, answer);
            });
        }
        this->release_slot(*run, slot_outcome::answered);
        this->finish(*run, false);
        this->start_queued_runs();
    }
    this->actions_.run();
}

void agent_server::on_upstream_failure(std::uint64_t number, bool maybe_run,
                                       const std::string& message)
{
    {
        const std::scoped_lock lock(this->mutex_);
        auto* run = this->find_run(number);
        if (run == nullptr || run->state != run_state::running) {
            return;
        }
        this->release_slot(*run, slot_outcome::failed);
        if (maybe_run || run->next_chunk > 0) {
            this->fail(*run, message);
        }
        else {
            this->upstream_up_ = false;
            this->release_claim_and_refuse(*run, wire::REFUSAL_REASON_UPSTREAM_DOWN, message);
        }
        this->start_queued_runs();
    }
    this->actions_.run();
}

void agent_server::answer_from_completion(dispatch_run& run, const wire::completion& completion)
{
    if (body_was_omitted(completion)) {
        this->fail(run, fmt::format("the request ran before and was answered with status {}; "
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
    this->add_chunk(run, std::move(chunk));
    this->finish(run, true);
}

void agent_server::add_chunk(dispatch_run& run, wire::chunk chunk)
{
    chunk.set_dispatch_id(run.key.second);
    chunk.set_sequence(run.next_chunk++);
    run.digest.update(chunk.data());
    if (run.abandoned) {
        return;
    }
    wire::frame frame;
    *frame.mutable_chunk() = chunk;
    this->send_for_run(run, std::move(frame));
    run.chunk_bytes += chunk.data().size();
    this->replay_bytes_ += chunk.data().size();
    run.chunks.push_back(std::move(chunk));
    this->trim_replay(run);
}

void agent_server::trim_replay(dispatch_run& run)
{
    const auto drop_first_chunk = [this](dispatch_run& it) {
        const auto bytes = it.chunks.front().data().size();
        it.chunk_bytes -= bytes;
        this->replay_bytes_ -= bytes;
        it.chunks.pop_front();
    };
    while (run.chunk_bytes > this->options_.max_replay_bytes_per_answer) {
        drop_first_chunk(run);
    }
    for (auto& [number, it] : this->runs_) {
        if (this->replay_bytes_ <= this->options_.max_total_replay_bytes) {
            return;
        }
        while (it.state == run_state::ended && !it.chunks.empty()) {
            drop_first_chunk(it);
        }
    }
    while (this->replay_bytes_ > this->options_.max_total_replay_bytes && !run.chunks.empty()) {
        drop_first_chunk(run);
    }
}

void agent_server::finish(dispatch_run& run, bool from_memory)
{
    ++this->counts_.finished;
    wire::frame frame;
    auto* finished = frame.mutable_finished();
    finished->set_dispatch_id(run.key.second);
    finished->set_chunk_count(run.next_chunk);
    finished->set_digest(run.digest.value());
    finished->set_from_memory(from_memory);
    *finished->mutable_load() = this->load_report_for(run.key.first);
    this->end_run(run, std::move(frame));
}

void agent_server::refuse(dispatch_run& run, wire::refusal_reason reason,
                          const std::string& message)
{
    ++this->counts_.refused;
    wire::frame frame;
    auto* refused = frame.mutable_refused();
    refused->set_dispatch_id(run.key.second);
    refused->set_reason(reason);
    refused->set_message(message);
    *refused->mutable_load() = this->load_report_for(run.key.first);
    this->end_run(run, std::move(frame));
}

void agent_server::fail(dispatch_run& run, const std::string& message, bool in_progress)
{
    ++this->counts_.failed;
    wire::frame frame;
    auto* failed = frame.mutable_failed();
    failed->set_dispatch_id(run.key.second);
    failed->set_message(message);
    failed->set_in_progress(in_progress);
    *failed->mutable_load() = this->load_report_for(run.key.first);
    this->end_run(run, std::move(frame));
}

void agent_server::end_run(dispatch_run& run, wire::frame frame)
{
    run.state = run_state::ended;
    run.ended_at = this->clock_.now();
    run.call.reset();
    run.request.Clear();
    this->last_ended_at_ = run.ended_at;
    if (run.abandoned) {
        this->erase_run(this->runs_.find(run.number));
        return;
    }
    this->send_for_run(run, frame);
    run.end_frame = std::move(frame);
}

void agent_server::release_slot(const dispatch_run& run, slot_outcome outcome)
{
    this->admission_.release(run.first_byte_latency, outcome);
}

void agent_server::release_claim_and_refuse(dispatch_run& run, wire::refusal_reason reason,
                                            const std::string& message)
{
    if (!run.ticket) {
        this->refuse(run, reason, message);
        return;
    }
    run.state = run_state::claiming;
    run.call.reset();
    this->defer([this, ticket = *run.ticket, number = run.number, reason, message] {
        // Refuses only after the release, so that a retry at another agent can claim the key.
        this->claims_.release(ticket, [weak = this->weak_from_this(), number, reason, message] {
            if (const auto self = weak.lock()) {
                const std::scoped_lock lock(self->mutex_);
                if (auto* it = self->find_run(number)) {
                    self->refuse(*it, reason, message);
                }
            }
        });
    });
}

void agent_server::abandon(dispatch_run& run)
{
    if (run.abandoned) {
        return;
    }
    run.abandoned = true;
    if (run.state != run_state::ended) {
        ++this->counts_.cancelled;
    }
    switch (run.state) {
    case run_state::queued:
        this->admission_.remove(run.number);
        break;
    case run_state::running:
        if (run.ticket) {
            return; // the call cannot be undone: it completes, and its answer is stored
        }
        if (run.call) {
            this->defer([call = run.call] { call->cancel(); });
        }
        this->release_slot(run, slot_outcome::abandoned);
        break;
    case run_state::claiming:
        return; // the run is erased when the claim or its release has been answered
    case run_state::ended:
        break;
    }
    this->erase_run(this->runs_.find(run.number));
    this->start_queued_runs();
}

void agent_server::abandon_all(std::uint64_t entry_incarnation,
                               const std::vector<std::uint64_t>& except)
{
    const std::unordered_set<std::uint64_t> kept(except.begin(), except.end());
    std::vector<std::uint64_t> numbers;
    for (auto it = this->run_numbers_.lower_bound({entry_incarnation, 0});
         it != this->run_numbers_.end() && it->first.first == entry_incarnation; ++it) {
        if (!kept.contains(it->first.second)) {
            numbers.push_back(it->second);
        }
    }
    for (const auto number : numbers) {
        if (auto* run = this->find_run(number)) {
            this->abandon(*run);
        }
    }
}

void agent_server::erase_run(run_map::iterator it)
{
    this->replay_bytes_ -= it->second.chunk_bytes;
    this->run_numbers_.erase(it->second.key);
    this->runs_.erase(it);
}

void agent_server::send_for_run(const dispatch_run& run, wire::frame frame)
{
    if (!run.awaiting_resume && !run.abandoned) {
        this->send_to_entry(run.key.first, std::move(frame));
    }
}

void agent_server::send_to_entry(std::uint64_t entry_incarnation, wire::frame frame)
{
    if (const auto it = this->entries_.find(entry_incarnation); it != this->entries_.end()) {
        this->ports_.send(it->second.connection, std::move(frame));
    }
}

void agent_server::send_heartbeat(std::uint64_t entry_incarnation, const entry_session& session,
                                  const std::vector<wire::organisation_usage>& usage)
{
    wire::frame frame;
    auto* heartbeat = frame.mutable_heartbeat();
    heartbeat->set_sent_at_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->clock_.now().time_since_epoch())
            .count()));
    heartbeat->set_config_offset(this->ports_.config_offset());
    heartbeat->set_confirmed_offset(heartbeat->config_offset());
    *heartbeat->mutable_load() = this->load_report_for(entry_incarnation);
    for (const auto& it : usage) {
        *heartbeat->add_usage() = it;
    }
    this->ports_.send(session.connection, std::move(frame));
}

wire::load_report agent_server::load_report_for(std::uint64_t entry_incarnation) const
{
    wire::load_report load;
    load.set_running(this->admission_.running());
    load.set_queued(static_cast<std::uint32_t>(this->admission_.queued()));
    load.set_limit(this->admission_.limit());
    load.set_latency_us(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(this->smoothed_first_byte_latency_)
            .count()));
    load.set_leaving(this->leaving_);
    load.set_upstream_up(this->upstream_up_);
    if (const auto it = this->entries_.find(entry_incarnation); it != this->entries_.end()) {
        load.set_received_dispatches(it->second.received_dispatches);
    }
    return load;
}

agent_server::dispatch_run* agent_server::find_run(std::uint64_t number)
{
    const auto it = this->runs_.find(number);
    return it == this->runs_.end() ? nullptr : &it->second;
}

agent_server::dispatch_run* agent_server::find_run(const dispatch_key& key)
{
    const auto it = this->run_numbers_.find(key);
    return it == this->run_numbers_.end() ? nullptr : this->find_run(it->second);
}

} // namespace medlaryoke::controllers
