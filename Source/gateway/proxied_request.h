#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/answer_meaning.h"
#include "gateway/routed_request.h"
#include "gateway/service_dispatcher.h"
#include "transport/event_splitter.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace medlaryoke::gateway {

/// Proxies one caller's request: queues it, sends it to upstreams, retries it where the route
/// allows that, and writes the response. Used on the gateway's thread.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
public:
    using end_handler = std::function<void(std::uint64_t number)>;

    /// @param details the request with its route, organisation and deadline
    /// @param dispatcher of the service that the route chose
    /// @param response receives the response
    /// @param on_ended called once with the request's number when the request has ended
    proxied_request(routed_request details, std::shared_ptr<service_dispatcher> dispatcher,
                    std::shared_ptr<transport::response_stream> response, end_handler on_ended);

    /// Queues the first attempt. The request is cancelled if the caller disconnects.
    void start();

    /// Sends the request to an upstream; called by the dispatcher.
    void on_assigned(const upstream_target& target);

    /// Ends the request because it waited too long for an upstream; called by the dispatcher.
    void on_queue_timeout();

    /// Ends the request if a part of its prompt is quarantined and no answer has begun.
    void end_if_quarantined();

    /// Ends the request if its deadline has passed. Fails over an attempt that hangs if the request
    /// may be retried.
    void tick();

    [[nodiscard]] const routed_request& details() const { return this->details_; }

private:
    /// What is known about the execution of an attempt that ended without a usable response.
    enum class attempt_failure {
        not_sent, ///< no byte of the request left this process
        not_run,  ///< the upstream stated that it did not run the request
        unknown,  ///< the upstream may have run the request, or ran it and failed
    };

    struct attempt {
        std::uint64_t number = 0; ///< identifies the attempt; events of earlier ones are ignored
        upstream_target target;
        std::shared_ptr<transport::http_exchange> exchange; ///< empty if nothing could be sent
        transport::http_head head;
        answer_meaning meaning = answer_meaning::unusable; ///< of the head
        std::string body;           ///< buffered, unless the response is streamed
        std::size_t held_bytes = 0; ///< taken from the gateway's budget for the body
        time_point sent_at{};
        time_point last_received_at{}; ///< when the head or the last event came
        bool is_streamed = false;      ///< the body is forwarded event by event
        std::size_t event_count = 0;   ///< complete events that were received
    };

    /// @return the request as sent to an upstream, with its deadline, priority and last event id
    [[nodiscard]] transport::http_request
    make_upstream_request(const upstream_target& target) const;

    /// @param number of the attempt
    /// @return handlers that do nothing once another attempt has replaced this one
    [[nodiscard]] transport::http_events make_event_handlers(std::uint64_t number);

    void on_head(const transport::http_head& head);
    /// @param is_signed whether the upstream itself wrote the response
    void read_rate_limit(const transport::http_head& head, bool is_signed);
    /// Reads whether the upstream leaves or wants no requests for a time.
    void read_notices(const transport::http_head& head);
    void on_data(const std::string& data);
    void on_end();
    void on_failure(const transport::http_failure& failure);
    void on_stream_data(const std::string& data);
    void on_stream_end();
    void on_complete_response();

    /// @return whether the upstream has written more than the beginning of an answer
    [[nodiscard]] bool has_written_answer() const;

    /// Ends an attempt whose upstream closed the connection before the answer was complete. If the
    /// upstream has ended, the request is repeated only if it is not suspected to be the cause.
    void on_broken_answer(std::string reason);
    void on_upstream_checked(bool ended, bool is_suspicious, std::uint64_t upstream,
                             std::string reason);

    /// Ends the attempt and excludes its upstream from later attempts.
    void end_and_exclude(policy::call_outcome outcome);

    /// Cancels the exchange, reports the outcome to the dispatcher and releases the slot.
    /// @param outcome counted for the upstream
    /// @param latency until the complete response, if it succeeded
    void end_attempt(policy::call_outcome outcome, std::optional<duration> latency);

    /// Queues another attempt if the request may be retried, else ends the request.
    void on_attempt_failed(attempt_failure failure, std::string reason);

    /// Checks the deadline, the route's retry rule and attempt limit, and the shared retry budget;
    /// takes an attempt from the budget if the request may have left this process.
    [[nodiscard]] bool may_retry(attempt_failure failure) const;

    /// @return until when a further attempt may wait for an upstream
    [[nodiscard]] time_point retry_wait_until() const;

    /// Ends the request without a further attempt: forwards the last failure of an upstream, or
    /// responds whether the request may have run.
    void end_after_failure();

    /// Forwards an upstream's complete response.
    void forward_response(const transport::http_head& head, std::string body,
                          std::string_view outcome);

    /// Responds that the request did not run, with a Retry-After header.
    void respond_not_run(std::string_view reason);

    /// Responds that the request may have run.
    void respond_outcome_unknown(unsigned status, std::string_view reason);
    void respond_with_error(transport::http_response response, unsigned status,
                            std::string_view outcome, std::string_view reason);

    /// Closes the caller's connection within a stream, so that the caller sees that it is
    /// incomplete.
    void abort_stream(std::string_view reason);
    void on_caller_disconnected();

    /// Counts and logs the request; does nothing from the second call on.
    void finish(std::string_view outcome, unsigned status, std::string_view reason);

    routed_request details_;
    std::shared_ptr<service_dispatcher> dispatcher_;
    std::shared_ptr<transport::response_stream> response_;
    end_handler on_ended_;
    event_log log_{"request"};
    std::optional<attempt> attempt_;
    std::uint64_t attempt_count_ = 0; ///< attempts assigned to an upstream so far
    std::uint64_t unsent_count_ = 0;  ///< ended attempts that did not leave this process
    unsigned possible_run_count_ = 0; ///< ended attempts that may have run
    bool may_have_run_ = false;
    bool stream_started_ = false; ///< the head of a stream was sent to the caller
    bool ended_ = false;
    std::vector<std::uint64_t> excluded_upstreams_; ///< keys; not used for another attempt
    transport::event_splitter splitter_;
    std::optional<transport::http_response> upstream_failure_; ///< last 5xx response of an upstream
    std::string last_failure_reason_;
    duration time_in_queue_{};       ///< from the arrival until the last attempt was sent
    duration first_event_latency_{}; ///< from the request's arrival to the first event
    duration longest_event_gap_{};
};

} // namespace medlaryoke::gateway
