#include "gateway/proxied_request.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/error.h"
#include "transport/error_response.h"
#include "transport/header_names.h"

namespace medlaryoke::gateway {

namespace {

// An answer of a plain service is collected whole before it is passed on, so that one that breaks
// off can be repeated. A longer one is a fault of the upstream.
constexpr std::size_t max_answer_bytes = 8U * 1024U * 1024U;

// A caller that reads so much slower than its stream is written is cut off.
constexpr std::size_t max_queued_bytes = 4U * 1024U * 1024U;

constexpr auto connect_timeout = std::chrono::milliseconds(400); ///< 200 round trips in a region

// Times out after the deadline, which the request itself watches.
constexpr auto deadline_margin = std::chrono::milliseconds(200);

// A plain request that has no answer after this multiple of its latency target is sent elsewhere,
// if it may be repeated.
constexpr int hang_targets = 2;

// Shortest time left in which another attempt can bring an answer.
constexpr auto least_attempt_time = std::chrono::milliseconds(30);

constexpr unsigned misdirected_status = 421;
constexpr unsigned unavailable_status = 503;
constexpr unsigned bad_gateway_status = 502;
constexpr unsigned gateway_timeout_status = 504;

bool is_success(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 299;
    return status >= first && status <= last;
}

std::int64_t ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Removes the headers of an upstream's answer that concern its connection.
transport::http_head forwarded(transport::http_head head)
{
    transport::remove_connection_headers(head.headers);
    return head;
}

} // namespace

proxied_request::proxied_request(routed_request details,
                                 std::shared_ptr<service_dispatcher> service,
                                 std::shared_ptr<transport::response_stream> response,
                                 end_handler on_ended)
    : details_(std::move(details)), service_(std::move(service)), response_(std::move(response)),
      on_ended_(std::move(on_ended))
{
}

void proxied_request::start()
{
    this->response_->on_closed([self = this->shared_from_this()] { self->on_caller_gone(); });
    if (!this->ended_) {
        this->service_->submit(this->shared_from_this());
    }
}

void proxied_request::on_assigned(const upstream_target& target)
{
    this->attempt_ = attempt{};
    this->attempt_->number = ++this->attempts_;
    this->attempt_->target = target;
    this->attempt_->sent = this->service_->clock().now();
    this->attempt_->heard = this->attempt_->sent;
    const duration left = this->details_.deadline - this->attempt_->sent + deadline_margin;
    if (this->attempts_ == 1) {
        this->service_->metrics().observe("queue_wait", {},
                                          this->attempt_->sent - this->details_.arrived);
    }
    auto exchange = target.client->send(
        this->make_message(target), {std::min<duration>(connect_timeout, left), left, left, left},
        this->make_events(this->attempts_));
    this->attempt_->exchange = std::move(exchange);
}

transport::http_request proxied_request::make_message(const upstream_target& target) const
{
    constexpr unsigned least_urgent = 9;
    const auto& protocol = this->service_->protocol();
    auto message = this->details_.message;
    auto& headers = message.headers;
    const auto left = this->details_.deadline - this->service_->clock().now();
    headers.push_back({protocol.deadline, std::to_string(std::max<std::int64_t>(ms(left), 1))});
    headers.push_back({protocol.expected_upstream, target.id});
    if (!this->details_.organisation.empty()) {
        headers.push_back({protocol.organisation, this->details_.organisation});
    }
    if (this->details_.route->is_stream) {
        headers.push_back(
            {protocol.priority, std::to_string(std::min(this->details_.priority, least_urgent))});
    }
    if (const auto& last = this->events_.last_id()) {
        std::erase_if(headers, [&protocol](const transport::http_header& field) {
            return transport::same_name(field.name, protocol.last_event);
        });
        headers.push_back({protocol.last_event, *last});
    }
    return message;
}

transport::http_events proxied_request::make_events(std::uint64_t number)
{
    // Events of an attempt that was given up meanwhile are ignored.
    const auto current = [self = this->shared_from_this(), number](auto handler) {
        if (!self->ended_ && self->attempt_ && self->attempt_->number == number) {
            handler(*self);
        }
    };
    transport::http_events events;
    events.is_own_reply = [id = this->details_.id,
                           name = this->service_->protocol().request_id](const auto& head) {
        const auto echoed = transport::find_header(head.headers, name);
        return echoed.empty() || echoed == id;
    };
    events.on_head = [current](const transport::http_head& head) {
        current([&head](proxied_request& it) { it.on_head(head); });
    };
    events.on_data = [current](std::string data) {
        current([&data](proxied_request& it) { it.on_data(data); });
    };
    events.on_end = [current] { current([](proxied_request& it) { it.on_end(); }); };
    events.on_failure = [current](const transport::http_failure& failure) {
        current([&failure](proxied_request& it) { it.on_failure(failure); });
    };
    return events;
}

void proxied_request::on_head(const transport::http_head& head)
{
    auto& it = *this->attempt_;
    it.head = head;
    it.heard = this->service_->clock().now();
    it.streams = this->details_.route->is_stream && is_success(head.status);
    const bool is_signed =
        !transport::find_header(head.headers, this->service_->protocol().signature).empty();
    const bool is_encoded = !transport::find_header(head.headers, "Content-Encoding").empty();
    if (is_success(head.status) && (!is_signed || is_encoded)) {
        // Given up before its end, so that the connection is not used again.
        this->drop_attempt(policy::call_outcome::failed);
        this->attempt_failed(attempt_end::unknown, "the answer bears no signature");
    }
}

void proxied_request::on_data(const std::string& data)
{
    auto& it = *this->attempt_;
    if (it.streams) {
        this->on_stream_data(data);
        return;
    }
    it.body += data;
    if (it.body.size() > max_answer_bytes) {
        this->drop_attempt(policy::call_outcome::failed);
        this->attempt_failed(attempt_end::unknown, "the answer is too long");
    }
}

void proxied_request::on_stream_data(const std::string& data)
{
    auto& it = *this->attempt_;
    auto whole = this->events_.add(data);
    if (whole.empty()) {
        return;
    }
    const auto now = this->service_->clock().now();
    if (!std::exchange(this->started_, true)) {
        this->first_event_ = now - this->details_.arrived;
        this->service_->metrics().observe("first_event", {}, this->first_event_);
        this->response_->start(forwarded(it.head));
    }
    if (std::exchange(it.has_event, true)) {
        this->longest_gap_ = std::max<duration>(this->longest_gap_, now - it.heard);
        this->service_->on_gap(now - it.heard);
    }
    else {
        this->service_->on_started(it.target.key, this->details_.prompt_tokens);
        this->service_->on_result(it.target.key, policy::call_outcome::succeeded, now - it.sent);
    }
    it.heard = now;
    if (this->response_->write(std::move(whole)) > max_queued_bytes) {
        this->abort("the caller reads too slowly");
    }
}

void proxied_request::on_end()
{
    if (this->attempt_->streams) {
        this->on_stream_end();
    }
    else {
        this->on_whole_answer();
    }
}

void proxied_request::on_stream_end()
{
    if (!this->started_ || this->events_.has_partial()) {
        this->drop_attempt(policy::call_outcome::failed);
        this->attempt_failed(attempt_end::unknown, "the stream ended within an event");
        return;
    }
    const auto status = this->attempt_->head.status;
    this->end_attempt(policy::call_outcome::abandoned, std::nullopt);
    this->response_->finish();
    this->finish("answered", status, {});
}

void proxied_request::on_whole_answer()
{
    const auto& protocol = this->service_->protocol();
    const auto& head = this->attempt_->head;
    const auto now = this->service_->clock().now();
    if (head.status == misdirected_status ||
        !transport::find_header(head.headers, protocol.not_run).empty()) {
        const auto reason = fmt::format("the upstream refused with {}", head.status);
        this->drop_attempt(policy::call_outcome::refused);
        this->attempt_failed(attempt_end::not_run, reason);
        return;
    }
    if (is_success(head.status)) {
        transport::http_response whole{head, std::move(this->attempt_->body)};
        this->end_attempt(policy::call_outcome::succeeded, now - this->attempt_->sent);
        this->answer(whole.head, std::move(whole.body), "answered");
        return;
    }
    const auto reason = fmt::format("the upstream answered {}", head.status);
    constexpr unsigned first_server_error = 500;
    const bool upstream_fault = head.status >= first_server_error;
    transport::http_response failure{head, this->attempt_->body};
    this->drop_attempt(upstream_fault ? policy::call_outcome::failed
                                      : policy::call_outcome::succeeded);
    if (!upstream_fault) {
        this->answer(failure.head, std::move(failure.body), "answered");
        return;
    }
    this->fallback_ = std::move(failure);
    this->attempt_failed(attempt_end::unknown, reason);
}

void proxied_request::on_failure(const transport::http_failure& failure)
{
    const auto how = failure.maybe_sent ? attempt_end::unknown : attempt_end::not_sent;
    this->drop_attempt(policy::call_outcome::failed);
    this->attempt_failed(how, failure.message);
}

void proxied_request::drop_attempt(policy::call_outcome outcome)
{
    this->tried_.push_back(this->attempt_->target.key);
    this->end_attempt(outcome, std::nullopt);
}

void proxied_request::end_attempt(policy::call_outcome outcome, std::optional<duration> latency)
{
    const auto ended = std::exchange(this->attempt_, std::nullopt);
    ended->exchange->cancel();
    this->service_->on_result(ended->target.key, outcome, latency);
    this->service_->on_end(ended->target.key, ended->has_event ? 0 : this->details_.prompt_tokens);
}

void proxied_request::attempt_failed(attempt_end how, std::string reason)
{
    const auto now = this->service_->clock().now();
    const auto upstream = this->tried_.empty() ? 0 : this->tried_.back();
    this->log_.sample(log_level::info, "attempt failed",
                      {{"id", this->details_.id},
                       {"service", this->service_->name()},
                       {"upstream", fmt::format("{:016x}", upstream)},
                       {"attempt", static_cast<std::int64_t>(this->attempts_)},
                       {"run", how == attempt_end::unknown ? "unknown" : "no"},
                       {"events", static_cast<std::int64_t>(this->events_.events())},
                       {"left_ms", ms(this->details_.deadline - now)},
                       {"reason", reason}});
    this->last_reason_ = std::move(reason);
    this->events_.drop_partial();
    if (how == attempt_end::unknown) {
        this->may_have_run_ = true;
        ++this->runs_;
    }
    // Without another upstream there is nothing to wait for.
    if (!this->service_->has_other(this->tried_) || !this->may_repeat(how)) {
        this->give_up();
        return;
    }
    this->service_->metrics().count("attempts_repeated",
                                    fmt::format("service=\"{}\"", this->service_->name()));
    this->service_->resubmit(this->shared_from_this(), this->tried_, this->repeat_until());
}

bool proxied_request::may_repeat(attempt_end how) const
{
    const auto& route = *this->details_.route;
    if (this->details_.deadline - this->service_->clock().now() < least_attempt_time) {
        return false;
    }
    if (how == attempt_end::unknown && route.repeat == model::repeat_rule::unsafe) {
        return false;
    }
    if (this->runs_ >= route.max_attempts) {
        return false;
    }
    // Refused attempts are bounded too: each counts against the budget shared by all gateways.
    constexpr std::uint64_t most_refused = 3;
    if (this->attempts_ >= route.max_attempts + most_refused) {
        return false;
    }
    return how == attempt_end::not_sent || this->service_->try_retry();
}

time_point proxied_request::repeat_until() const
{
    const auto now = this->service_->clock().now();
    if (!this->details_.route->is_stream || this->started_) {
        return this->details_.deadline;
    }
    return this->service_->waiting_rules().wait_until(now, this->details_.route->target_latency,
                                                      this->details_.deadline, true);
}

void proxied_request::give_up()
{
    if (this->started_) {
        this->abort(this->last_reason_);
    }
    else if (this->fallback_) {
        auto failure = std::move(*this->fallback_);
        this->answer(failure.head, std::move(failure.body), "upstream_failed");
    }
    else if (this->may_have_run_) {
        this->fail(bad_gateway_status, this->last_reason_);
    }
    else {
        this->refuse(this->last_reason_.empty() ? "no upstream had room in time"
                                                : this->last_reason_);
    }
}

void proxied_request::on_not_assigned()
{
    if (!this->ended_) {
        this->give_up();
    }
}

void proxied_request::tick()
{
    const auto now = this->service_->clock().now();
    if (this->ended_) {
        return;
    }
    if (now >= this->details_.deadline) {
        const bool sent = this->attempt_.has_value() || this->may_have_run_;
        if (this->attempt_) {
            this->drop_attempt(policy::call_outcome::abandoned);
        }
        this->service_->withdraw(this->details_.number);
        if (this->started_) {
            this->abort("the deadline has passed");
        }
        else if (sent) {
            this->fail(gateway_timeout_status, "the deadline has passed");
        }
        else {
            this->refuse("the deadline has passed");
        }
        return;
    }
    const auto& route = *this->details_.route;
    if (this->attempt_ && !route.is_stream && route.repeat != model::repeat_rule::unsafe &&
        route.target_latency > duration::zero() &&
        now - this->attempt_->sent > hang_targets * route.target_latency &&
        this->runs_ + 1 < route.max_attempts) {
        this->drop_attempt(policy::call_outcome::failed);
        this->attempt_failed(attempt_end::unknown, "no answer in time");
    }
}

void proxied_request::answer(const transport::http_head& head, std::string body,
                             std::string_view outcome)
{
    this->response_->respond({forwarded(head), std::move(body)});
    this->finish(outcome, head.status, this->last_reason_);
}

void proxied_request::refuse(std::string_view reason)
{
    const auto left = this->details_.deadline - this->service_->clock().now();
    const auto wait = this->service_->waiting_rules().retry_after(left);
    auto response = transport::make_error_response(
        error(error_kind::not_run, std::string(reason), "Repeat the request as Retry-After says."));
    response.head.headers.push_back(transport::make_retry_after(wait));
    this->respond_without_answer(std::move(response), unavailable_status, "refused", reason);
}

void proxied_request::fail(unsigned status, std::string_view reason)
{
    auto response = transport::make_error_response(
        error(error_kind::outcome_unknown, std::string(reason),
              "Check whether the request took effect before repeating it."),
        "unknown");
    this->respond_without_answer(std::move(response), status, "failed", reason);
}

void proxied_request::respond_without_answer(transport::http_response response, unsigned status,
                                             std::string_view outcome, std::string_view reason)
{
    response.head.status = status;
    response.head.headers.push_back({this->service_->protocol().request_id, this->details_.id});
    this->response_->respond(std::move(response));
    this->finish(outcome, status, reason);
}

void proxied_request::abort(std::string_view reason)
{
    if (this->attempt_) {
        this->drop_attempt(policy::call_outcome::abandoned);
    }
    this->response_->abort();
    this->finish("broken_off", 0, reason);
}

void proxied_request::on_caller_gone()
{
    if (this->ended_) {
        return;
    }
    const auto self = this->shared_from_this();
    if (this->attempt_) {
        this->drop_attempt(policy::call_outcome::abandoned);
    }
    this->service_->withdraw(this->details_.number);
    this->finish("caller_left", 0, {});
}

void proxied_request::finish(std::string_view outcome, unsigned status, std::string_view reason)
{
    if (std::exchange(this->ended_, true)) {
        return;
    }
    const auto now = this->service_->clock().now();
    this->service_->metrics().count(
        "requests_ended", fmt::format("service=\"{}\",route=\"{}\",outcome=\"{}\"",
                                      this->service_->name(), this->details_.route->name, outcome));
    const auto& route = *this->details_.route;
    const auto latency = route.is_stream ? this->first_event_ : now - this->details_.arrived;
    const bool late = latency > route.target_latency || (route.target_gap > duration::zero() &&
                                                         this->longest_gap_ > route.target_gap);
    const bool ordinary = outcome == "answered" && this->attempts_ == 1 && !late;
    this->log_.sample(
        ordinary ? log_level::debug : log_level::info, "request ended",
        {{"id", this->details_.id},
         {"route", route.name},
         {"service", this->service_->name()},
         {"organisation", this->details_.organisation},
         {"priority", static_cast<std::int64_t>(this->details_.priority)},
         {"config", static_cast<std::int64_t>(this->details_.config->version)},
         {"outcome", outcome},
         {"status", static_cast<std::int64_t>(status)},
         {"attempts", static_cast<std::int64_t>(this->attempts_)},
         {"events", static_cast<std::int64_t>(this->events_.events())},
         {"took_ms", ms(now - this->details_.arrived)},
         {"first_event_ms", ms(this->first_event_)},
         {"longest_gap_ms", ms(this->longest_gap_)},
         {"late", late},
         {"run_limit", this->service_->pace().run_limit()},
         {"waiting", static_cast<std::int64_t>(this->service_->scheduler().waiting())},
         {"running", static_cast<std::int64_t>(this->service_->scheduler().running())},
         {"reason", reason}});
    this->on_ended_(this->details_.number);
}

} // namespace medlaryoke::gateway
