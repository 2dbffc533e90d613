#include "gateway/proxied_request.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "base/error.h"
#include "transport/error_response.h"
#include "transport/header_names.h"

namespace medlaryoke::gateway {

namespace {

// A response that is not streamed is buffered completely before it is forwarded, so that the
// request can be retried if the response is truncated. A larger response counts as an upstream
// failure.
constexpr std::size_t max_response_bytes = 8U * 1024U * 1024U;

// A caller that reads a stream too slowly is disconnected when more than this is unsent.
constexpr std::size_t max_unsent_bytes = 256U * 1024U;
// An event that is not complete after as many bytes is no event.
constexpr std::size_t max_event_bytes = 256U * 1024U;

// 200 round trips within a region.
constexpr auto connect_timeout = std::chrono::milliseconds(400);

// The HTTP client times out this much later than the deadline, which tick() enforces.
constexpr auto deadline_margin = std::chrono::milliseconds(200);

// A retryable request that is not streamed is sent to another upstream after this multiple of its
// latency target.
constexpr int hang_timeout_factor = 2;

// An attempt with less time left before the deadline cannot bring a response.
constexpr auto min_attempt_time = std::chrono::milliseconds(30);

// Upstreams to which a request may be sent in vain because they cannot be reached. Each costs a
// round trip at most if its machine answers; many upstreams may have ended a moment ago.
constexpr std::uint64_t max_unsent_attempts = 16;

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

std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// @return a time in whole milliseconds; empty if the text is none, or of more than an hour
std::optional<duration> parse_milliseconds(std::string_view text)
{
    constexpr std::uint32_t most = 3600000;
    std::uint32_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size() && value <= most
               ? std::optional<duration>(std::chrono::milliseconds(value))
               : std::nullopt;
}

/// Removes the hop-by-hop headers of an upstream's response.
transport::http_head without_connection_headers(transport::http_head head)
{
    transport::remove_hop_by_hop_headers(head.headers);
    return head;
}

} // namespace

proxied_request::proxied_request(routed_request details,
                                 std::shared_ptr<service_dispatcher> dispatcher,
                                 std::shared_ptr<transport::response_stream> response,
                                 end_handler on_ended)
    : details_(std::move(details)), dispatcher_(std::move(dispatcher)),
      response_(std::move(response)), on_ended_(std::move(on_ended))
{
}

void proxied_request::start()
{
    this->response_->on_closed(
        [self = this->shared_from_this()] { self->on_caller_disconnected(); });
    if (!this->ended_) {
        this->dispatcher_->submit(this->shared_from_this());
    }
}

void proxied_request::on_assigned(const upstream_target& target)
{
    this->attempt_ = attempt{};
    this->attempt_->number = ++this->attempt_count_;
    this->attempt_->target = target;
    this->attempt_->sent_at = this->dispatcher_->clock().now();
    this->attempt_->last_received_at = this->attempt_->sent_at;
    this->time_in_queue_ = this->attempt_->sent_at - this->details_.arrived;
    const duration time_left = this->details_.deadline - this->attempt_->sent_at + deadline_margin;
    if (this->attempt_count_ == 1) {
        this->dispatcher_->metrics().observe("queue_wait", {},
                                             this->attempt_->sent_at - this->details_.arrived);
    }
    try {
        auto exchange = target.client->send(
            this->make_upstream_request(target),
            {std::min<duration>(connect_timeout, time_left), time_left, time_left, time_left},
            this->make_event_handlers(this->attempt_count_));
        this->attempt_->exchange = std::move(exchange);
    }
    catch (const std::exception& e) {
        // Nothing was sent, for example for lack of memory for the copy that is sent.
        this->end_and_exclude(policy::call_outcome::abandoned);
        this->on_attempt_failed(attempt_failure::not_sent, e.what());
        return;
    }
    this->dispatcher_->limits().on_sent(target.incarnation, this->attempt_count_ > 1);
}

transport::http_request proxied_request::make_upstream_request(const upstream_target& target) const
{
    constexpr unsigned lowest_priority = 9;
    const auto& protocol = this->dispatcher_->protocol();
    auto message = this->details_.message;
    auto& headers = message.headers;
    const auto time_left = this->details_.deadline - this->dispatcher_->clock().now();
    headers.push_back(
        {protocol.deadline, std::to_string(std::max<std::int64_t>(to_milliseconds(time_left), 1))});
    headers.push_back({protocol.expected_upstream, target.id});
    if (!this->details_.organisation.empty()) {
        headers.push_back({protocol.organisation, this->details_.organisation});
    }
    if (this->details_.route->is_stream) {
        headers.push_back({protocol.priority,
                           std::to_string(std::min(this->details_.priority, lowest_priority))});
    }
    if (const auto& last = this->splitter_.last_id()) {
        std::erase_if(headers, [&protocol](const transport::http_header& field) {
            return transport::header_names_equal(field.name, protocol.last_event_id);
        });
        headers.push_back({protocol.last_event_id, *last});
    }
    return message;
}

transport::http_events proxied_request::make_event_handlers(std::uint64_t number)
{
    // Ignores events of an attempt that has ended meanwhile.
    const auto current = [self = this->shared_from_this(), number](auto handler) {
        if (!self->ended_ && self->attempt_ && self->attempt_->number == number) {
            handler(*self);
        }
    };
    transport::http_events events;
    events.is_matching_reply = [id = this->details_.id,
                                name = this->dispatcher_->protocol().request_id](const auto& head) {
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
    it.last_received_at = this->dispatcher_->clock().now();
    it.meaning = interpret_answer(head, this->dispatcher_->protocol());
    it.is_streamed = this->details_.route->is_stream && it.meaning == answer_meaning::success;
    const bool is_signed =
        !transport::find_header(head.headers, this->dispatcher_->protocol().signature).empty();
    this->read_rate_limit(head, is_signed);
    this->read_notices(head);
    if (it.meaning == answer_meaning::unusable && is_success(head.status)) {
        // Cancelled before the end of the body, so that the connection is not reused.
        this->end_and_exclude(policy::call_outcome::failed);
        this->on_attempt_failed(attempt_failure::unknown, "the response has no signature");
    }
}

void proxied_request::read_rate_limit(const transport::http_head& head, bool is_signed)
{
    const auto limit =
        transport::find_header(head.headers, this->dispatcher_->protocol().rate_limit);
    // Another process answers at a reused address. Bytes of a faulty upstream without a signature
    // end no limit.
    if (head.status != misdirected_status && (is_signed || !limit.empty())) {
        const auto& target = this->attempt_->target;
        this->dispatcher_->limits().on_answer(target.incarnation, target.id, head.status, limit);
    }
}

void proxied_request::read_notices(const transport::http_head& head)
{
    if (head.status == misdirected_status) {
        return; // another process answers at a reused address
    }
    const auto& target = this->attempt_->target;
    auto& notices = this->dispatcher_->notices();
    if (transport::find_header(head.headers, this->dispatcher_->protocol().leaving) == "1") {
        notices.on_leaving_answer(target.incarnation, target.id);
    }
    if (const auto cold_time = parse_milliseconds(
            transport::find_header(head.headers, this->dispatcher_->protocol().cold_time))) {
        this->dispatcher_->on_cold(target.incarnation, *cold_time);
    }
    const auto retry_after = transport::find_header(head.headers, "Retry-After");
    if (head.status == unavailable_status && !retry_after.empty()) {
        notices.on_refusing_answer(target.incarnation, target.id, retry_after);
    }
}

void proxied_request::on_data(const std::string& data)
{
    auto& it = *this->attempt_;
    if (it.is_streamed) {
        this->on_stream_data(data);
        return;
    }
    const auto size = it.body.size() + data.size();
    const bool is_too_long = size > max_response_bytes;
    // The budget counts what the string occupies, not only what it is filled with.
    const auto capacity = size <= it.held_bytes ? it.held_bytes : std::max(size, 2 * it.held_bytes);
    if (is_too_long || !this->dispatcher_->held_bytes().try_take(capacity - it.held_bytes)) {
        this->end_and_exclude(policy::call_outcome::failed);
        this->on_attempt_failed(attempt_failure::unknown, is_too_long
                                                              ? "the response is too long"
                                                              : "responses hold too much memory");
        return;
    }
    it.held_bytes = capacity;
    it.body.reserve(capacity);
    it.body += data;
}

void proxied_request::on_stream_data(const std::string& data)
{
    auto& it = *this->attempt_;
    const auto earlier_events = this->splitter_.event_count();
    auto complete_events = this->splitter_.add(data);
    if (complete_events.empty()) {
        if (this->splitter_.partial_size() > max_event_bytes) {
            this->end_and_exclude(policy::call_outcome::failed);
            this->on_attempt_failed(attempt_failure::unknown, "an event has no end");
        }
        return;
    }
    const auto now = this->dispatcher_->clock().now();
    if (!std::exchange(this->stream_started_, true)) {
        this->first_event_latency_ = now - this->details_.arrived;
        this->dispatcher_->metrics().observe("first_event", {}, this->first_event_latency_);
        this->response_->start(without_connection_headers(it.head));
    }
    if (it.event_count > 0) {
        this->longest_event_gap_ =
            std::max<duration>(this->longest_event_gap_, now - it.last_received_at);
        this->dispatcher_->on_event_gap(now - it.last_received_at);
    }
    else {
        this->dispatcher_->on_first_event(it.target.key, this->details_.prompt_tokens);
        this->dispatcher_->on_attempt_result(it.target.key, policy::call_outcome::succeeded,
                                             now - it.sent_at);
    }
    const bool had_written = this->has_written_answer();
    it.event_count += this->splitter_.event_count() - earlier_events;
    if (!had_written && this->has_written_answer()) {
        this->dispatcher_->guard().on_answered(this->details_.shared_parts);
    }
    it.last_received_at = now;
    if (this->response_->write(std::move(complete_events)) > max_unsent_bytes) {
        this->abort_stream("the caller reads too slowly");
    }
}

void proxied_request::on_end()
{
    if (this->attempt_->is_streamed) {
        this->on_stream_end();
    }
    else {
        this->on_complete_response();
    }
}

void proxied_request::on_stream_end()
{
    if (!this->stream_started_ || this->splitter_.has_partial_event()) {
        this->on_broken_answer("the stream ended in the middle of an event");
        return;
    }
    const auto status = this->attempt_->head.status;
    this->dispatcher_->guard().on_answered(this->details_.shared_parts);
    this->end_attempt(policy::call_outcome::abandoned, std::nullopt);
    this->response_->finish();
    this->finish("answered", status, {});
}

void proxied_request::on_complete_response()
{
    const auto meaning = this->attempt_->meaning;
    transport::http_response answer{this->attempt_->head, std::move(this->attempt_->body)};
    const auto reason = fmt::format("the upstream responded with status {}", answer.head.status);
    if (meaning != answer_meaning::not_run) {
        this->dispatcher_->guard().on_answered(this->details_.shared_parts);
    }
    switch (meaning) {
    case answer_meaning::success: {
        const auto now = this->dispatcher_->clock().now();
        this->end_attempt(policy::call_outcome::succeeded, now - this->attempt_->sent_at);
        this->forward_response(answer.head, std::move(answer.body), "answered");
        break;
    }
    case answer_meaning::failure:
        this->end_and_exclude(policy::call_outcome::succeeded);
        this->forward_response(answer.head, std::move(answer.body), "answered");
        break;
    case answer_meaning::server_error:
        this->end_and_exclude(policy::call_outcome::failed);
        this->upstream_failure_ = std::move(answer);
        this->on_attempt_failed(attempt_failure::unknown, reason);
        break;
    case answer_meaning::not_run:
        this->end_and_exclude(policy::call_outcome::refused);
        this->on_attempt_failed(
            attempt_failure::not_run,
            fmt::format("the upstream refused the request with status {}", answer.head.status));
        break;
    case answer_meaning::unusable:
        this->end_and_exclude(policy::call_outcome::failed);
        this->on_attempt_failed(attempt_failure::unknown,
                                reason + ", without a statement that the request did not run");
        break;
    }
}

void proxied_request::on_failure(const transport::http_failure& failure)
{
    const auto result = failure.maybe_sent ? attempt_failure::unknown : attempt_failure::not_sent;
    if (failure.maybe_sent && failure.end == transport::exchange_end::connection_closed) {
        this->on_broken_answer(failure.message);
        return;
    }
    if (failure.end == transport::exchange_end::connection_refused) {
        this->dispatcher_->on_unreachable(this->attempt_->target.key);
    }
    this->end_and_exclude(policy::call_outcome::failed);
    this->on_attempt_failed(result, failure.message);
}

bool proxied_request::has_written_answer() const
{
    // An upstream that fails on what a request holds may still send the first event.
    constexpr std::size_t min_events = 2;
    return this->attempt_ && this->attempt_->event_count >= min_events;
}

void proxied_request::on_broken_answer(std::string reason)
{
    const bool may_be_cause = !this->details_.shared_parts.empty() && !this->has_written_answer();
    const bool has_begun = this->attempt_->event_count > 0;
    const auto target = this->attempt_->target;
    const auto sent_at = this->attempt_->sent_at;
    this->end_and_exclude(policy::call_outcome::failed);
    if (!may_be_cause) {
        this->on_attempt_failed(attempt_failure::unknown, std::move(reason));
        return;
    }
    this->may_have_run_ = true;
    this->dispatcher_->guard().check_upstream(
        target.incarnation, target.address, {sent_at, this->details_.shared_parts},
        [self = this->shared_from_this(), key = target.key, has_begun,
         reason = std::move(reason)](bool ended, bool is_suspicious) {
            if (!ended && has_begun) {
                self->dispatcher_->guard().on_answered(self->details_.shared_parts);
            }
            self->on_upstream_checked(ended, is_suspicious, key, reason);
        });
}

void proxied_request::on_upstream_checked(bool ended, bool is_suspicious, std::uint64_t upstream,
                                          std::string reason)
{
    if (ended) {
        this->dispatcher_->on_unreachable(upstream);
    }
    if (this->ended_) {
        return;
    }
    if (ended && is_suspicious) {
        this->last_failure_reason_ = "the upstream ended: " + reason;
        this->end_after_failure();
        return;
    }
    this->on_attempt_failed(attempt_failure::unknown, std::move(reason));
}

void proxied_request::end_if_quarantined()
{
    if (this->ended_ || this->has_written_answer() || this->details_.tests_quarantine ||
        !this->dispatcher_->guard().refused_for(this->details_.shared_parts)) {
        return;
    }
    if (this->attempt_) {
        this->may_have_run_ = true;
        this->end_and_exclude(policy::call_outcome::abandoned);
    }
    this->dispatcher_->remove_waiting(this->details_.number);
    this->last_failure_reason_ = "a part of the prompt has ended several upstreams";
    this->end_after_failure();
}

void proxied_request::end_and_exclude(policy::call_outcome outcome)
{
    this->excluded_upstreams_.push_back(this->attempt_->target.key);
    this->end_attempt(outcome, std::nullopt);
}

void proxied_request::end_attempt(policy::call_outcome outcome, std::optional<duration> latency)
{
    const auto ended = std::exchange(this->attempt_, std::nullopt);
    if (ended->exchange) {
        ended->exchange->cancel();
    }
    this->dispatcher_->held_bytes().give_back(ended->held_bytes);
    this->dispatcher_->on_attempt_result(ended->target.key, outcome, latency);
    this->dispatcher_->on_attempt_ended(ended->target.key,
                                        ended->event_count > 0 ? 0 : this->details_.prompt_tokens);
}

void proxied_request::on_attempt_failed(attempt_failure failure, std::string reason)
{
    const auto now = this->dispatcher_->clock().now();
    const auto upstream = this->excluded_upstreams_.empty() ? 0 : this->excluded_upstreams_.back();
    this->log_.sample(log_level::info, "attempt failed",
                      {{"id", this->details_.id},
                       {"service", this->dispatcher_->name()},
                       {"upstream", fmt::format("{:016x}", upstream)},
                       {"attempt", static_cast<std::int64_t>(this->attempt_count_)},
                       {"run", failure == attempt_failure::unknown ? "unknown" : "no"},
                       {"events", static_cast<std::int64_t>(this->splitter_.event_count())},
                       {"left_ms", to_milliseconds(this->details_.deadline - now)},
                       {"parts", fmt::format("{}", fmt::join(this->details_.shared_parts, " "))},
                       {"reason", reason}});
    this->last_failure_reason_ = std::move(reason);
    this->splitter_.drop_partial_event();
    if (failure == attempt_failure::unknown) {
        this->may_have_run_ = true;
        ++this->possible_run_count_;
    }
    else if (failure == attempt_failure::not_sent) {
        ++this->unsent_count_;
    }
    // Fails at once if no other upstream is left, instead of waiting until the deadline.
    if (!this->dispatcher_->has_alternative(this->excluded_upstreams_) ||
        this->dispatcher_->guard().refused_for(this->details_.shared_parts) ||
        !this->may_retry(failure)) {
        this->end_after_failure();
        return;
    }
    this->dispatcher_->metrics().count("attempts_repeated",
                                       fmt::format("service=\"{}\"", this->dispatcher_->name()));
    this->dispatcher_->resubmit(this->shared_from_this(), this->excluded_upstreams_,
                                this->retry_wait_until());
}

bool proxied_request::may_retry(attempt_failure failure) const
{
    const auto& route = *this->details_.route;
    if (this->details_.deadline - this->dispatcher_->clock().now() < min_attempt_time) {
        return false;
    }
    if (failure == attempt_failure::unknown && route.repeat == model::repeat_rule::unsafe) {
        return false;
    }
    if (this->possible_run_count_ >= route.max_attempts) {
        return false;
    }
    // Refused attempts are bounded too, as each takes from the retry budget that all gateways
    // share.
    constexpr std::uint64_t max_refused_attempts = 3;
    const auto sent_attempts = this->attempt_count_ - this->unsent_count_;
    if (sent_attempts >= route.max_attempts + max_refused_attempts ||
        this->unsent_count_ > max_unsent_attempts) {
        return false;
    }
    return failure == attempt_failure::not_sent || this->dispatcher_->try_take_retry();
}

time_point proxied_request::retry_wait_until() const
{
    const auto now = this->dispatcher_->clock().now();
    if (!this->details_.route->is_stream || this->stream_started_) {
        return this->details_.deadline;
    }
    return this->dispatcher_->wait_policy().wait_until(now, this->details_.route->target_latency,
                                                       this->details_.deadline, true);
}

void proxied_request::end_after_failure()
{
    if (this->stream_started_) {
        this->abort_stream(this->last_failure_reason_);
    }
    else if (this->upstream_failure_) {
        auto failure = std::move(*this->upstream_failure_);
        this->forward_response(failure.head, std::move(failure.body), "upstream_failed");
    }
    else if (this->may_have_run_) {
        this->respond_outcome_unknown(bad_gateway_status, this->last_failure_reason_);
    }
    else {
        this->respond_not_run(this->last_failure_reason_.empty()
                                  ? "no upstream had capacity in time"
                                  : this->last_failure_reason_);
    }
}

void proxied_request::on_queue_timeout()
{
    if (!this->ended_) {
        this->end_after_failure();
    }
}

void proxied_request::tick()
{
    const auto now = this->dispatcher_->clock().now();
    if (this->ended_) {
        return;
    }
    if (now >= this->details_.deadline) {
        const bool sent = this->attempt_.has_value() || this->may_have_run_;
        if (this->attempt_) {
            this->end_and_exclude(policy::call_outcome::abandoned);
        }
        this->dispatcher_->remove_waiting(this->details_.number);
        if (this->stream_started_) {
            this->abort_stream("the deadline has passed");
        }
        else if (sent) {
            this->respond_outcome_unknown(gateway_timeout_status, "the deadline has passed");
        }
        else {
            this->respond_not_run("the deadline has passed");
        }
        return;
    }
    const auto& route = *this->details_.route;
    if (this->attempt_ && !route.is_stream && route.repeat != model::repeat_rule::unsafe &&
        route.target_latency > duration::zero() &&
        now - this->attempt_->sent_at > hang_timeout_factor * route.target_latency &&
        this->possible_run_count_ + 1 < route.max_attempts) {
        this->end_and_exclude(policy::call_outcome::failed);
        this->on_attempt_failed(attempt_failure::unknown, "no response in time");
    }
}

void proxied_request::forward_response(const transport::http_head& head, std::string body,
                                       std::string_view outcome)
{
    this->response_->respond({without_connection_headers(head), std::move(body)});
    this->finish(outcome, head.status, this->last_failure_reason_);
}

void proxied_request::respond_not_run(std::string_view reason)
{
    this->dispatcher_->on_refused(this->details_.id);
    const auto time_left = this->details_.deadline - this->dispatcher_->clock().now();
    const auto refused_for = this->dispatcher_->guard().refused_for(this->details_.shared_parts);
    const auto pause = this->dispatcher_->scheduler().pause_left(this->dispatcher_->clock().now());
    const auto wait = refused_for.value_or(
        std::max(this->dispatcher_->wait_policy().retry_after(time_left), pause));
    auto response =
        transport::make_error_response(error(error_kind::not_run, std::string(reason),
                                             "Retry the request after the time in Retry-After."));
    response.head.headers.push_back(transport::make_retry_after(wait));
    this->respond_with_error(std::move(response), unavailable_status, "refused", reason);
}

void proxied_request::respond_outcome_unknown(unsigned status, std::string_view reason)
{
    auto response = transport::make_error_response(
        error(error_kind::outcome_unknown, std::string(reason),
              "Check whether the request took effect before retrying it."),
        "unknown");
    this->respond_with_error(std::move(response), status, "failed", reason);
}

void proxied_request::respond_with_error(transport::http_response response, unsigned status,
                                         std::string_view outcome, std::string_view reason)
{
    response.head.status = status;
    response.head.headers.push_back({this->dispatcher_->protocol().request_id, this->details_.id});
    this->response_->respond(std::move(response));
    this->finish(outcome, status, reason);
}

void proxied_request::abort_stream(std::string_view reason)
{
    if (this->attempt_) {
        this->end_and_exclude(policy::call_outcome::abandoned);
    }
    this->response_->abort();
    this->finish("broken_off", 0, reason);
}

void proxied_request::on_caller_disconnected()
{
    if (this->ended_) {
        return;
    }
    const auto self = this->shared_from_this();
    if (this->attempt_) {
        this->end_and_exclude(policy::call_outcome::abandoned);
    }
    this->dispatcher_->remove_waiting(this->details_.number);
    this->finish("caller_left", 0, {});
}

void proxied_request::finish(std::string_view outcome, unsigned status, std::string_view reason)
{
    if (std::exchange(this->ended_, true)) {
        return;
    }
    const auto now = this->dispatcher_->clock().now();
    this->dispatcher_->metrics().count("requests_ended",
                                       fmt::format("service=\"{}\",route=\"{}\",outcome=\"{}\"",
                                                   this->dispatcher_->name(),
                                                   this->details_.route->name, outcome));
    const auto& route = *this->details_.route;
    const auto latency =
        route.is_stream ? this->first_event_latency_ : now - this->details_.arrived;
    const bool is_late =
        latency > route.target_latency ||
        (route.target_gap > duration::zero() && this->longest_event_gap_ > route.target_gap);
    const bool is_routine = outcome == "answered" && this->attempt_count_ == 1 && !is_late;
    this->log_.sample(
        is_routine ? log_level::debug : log_level::info, "request ended",
        {{"id", this->details_.id},
         {"route", route.name},
         {"service", this->dispatcher_->name()},
         {"organisation", this->details_.organisation},
         {"priority", static_cast<std::int64_t>(this->details_.priority)},
         {"config", static_cast<std::int64_t>(this->details_.config->version)},
         {"outcome", outcome},
         {"status", static_cast<std::int64_t>(status)},
         {"attempts", static_cast<std::int64_t>(this->attempt_count_)},
         {"events", static_cast<std::int64_t>(this->splitter_.event_count())},
         {"took_ms", to_milliseconds(now - this->details_.arrived)},
         {"queued_ms", to_milliseconds(this->time_in_queue_)},
         {"first_event_ms", to_milliseconds(this->first_event_latency_)},
         {"longest_gap_ms", to_milliseconds(this->longest_event_gap_)},
         {"late", is_late},
         {"run_limit", this->dispatcher_->step_limit().run_limit()},
         {"waiting", static_cast<std::int64_t>(this->dispatcher_->scheduler().waiting())},
         {"running", static_cast<std::int64_t>(this->dispatcher_->scheduler().running())},
         {"reason", reason}});
    this->on_ended_(this->details_.number);
}

} // namespace medlaryoke::gateway
