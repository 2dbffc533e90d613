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
#include "gateway/routed_request.h"
#include "gateway/service_dispatcher.h"
#include "transport/event_splitter.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace medlaryoke::gateway {

/// One request of a caller from the queue to its last answer byte: attempts at upstreams, what may
/// be repeated, and what the caller is told. Used on the gateway's thread.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
public:
    using end_handler = std::function<void(std::uint64_t number)>;

    /// @param details where it goes
    /// @param service the service chosen for it
    /// @param response where the answer goes
    /// @param on_ended called once, when nothing more is done for the request
    proxied_request(routed_request details, std::shared_ptr<service_dispatcher> service,
                    std::shared_ptr<transport::response_stream> response, end_handler on_ended);

    /// Queues the first attempt and watches for the caller's departure.
    void start();

    /// Sends the request; called by the dispatcher.
    void on_assigned(const upstream_target& target);

    /// The request waited too long for an upstream; called by the dispatcher.
    void on_not_assigned();

    /// Ends the request if its deadline has passed, and an attempt that hangs while others go on.
    void tick();

    [[nodiscard]] const routed_request& details() const { return this->details_; }

private:
    /// What an attempt that ended without a usable answer tells.
    enum class attempt_end {
        not_sent, ///< no byte of the request left this process
        not_run,  ///< the upstream stated that it did not run the request
        unknown,  ///< it may have run, or has run and failed
    };

    struct attempt {
        std::uint64_t number = 0; ///< answers to earlier attempts are ignored
        upstream_target target;
        std::shared_ptr<transport::http_exchange> exchange;
        transport::http_head head;
        std::string body; ///< of an answer that is not a stream, or not one with success
        time_point sent{};
        time_point heard{};     ///< last event
        bool streams = false;   ///< the body is passed on event by event
        bool has_event = false; ///< a whole event has come
    };

    [[nodiscard]] transport::http_request make_message(const upstream_target& target) const;
    [[nodiscard]] transport::http_events make_events(std::uint64_t number);
    void on_head(const transport::http_head& head);
    void on_data(const std::string& data);
    void on_end();
    void on_failure(const transport::http_failure& failure);
    void on_stream_data(const std::string& data);
    void on_stream_end();
    void on_whole_answer();
    void drop_attempt(policy::call_outcome outcome);
    void end_attempt(policy::call_outcome outcome, std::optional<duration> latency);
    void attempt_failed(attempt_end how, std::string reason);
    [[nodiscard]] bool may_repeat(attempt_end how) const;
    [[nodiscard]] time_point repeat_until() const;
    void give_up();
    void answer(const transport::http_head& head, std::string body, std::string_view outcome);
    void refuse(std::string_view reason);
    void fail(unsigned status, std::string_view reason);
    void respond_without_answer(transport::http_response response, unsigned status,
                                std::string_view outcome, std::string_view reason);
    void abort(std::string_view reason);
    void on_caller_gone();
    void finish(std::string_view outcome, unsigned status, std::string_view reason);

    routed_request details_;
    std::shared_ptr<service_dispatcher> service_;
    std::shared_ptr<transport::response_stream> response_;
    end_handler on_ended_;
    event_log log_{"request"};
    std::optional<attempt> attempt_;
    std::uint64_t attempts_ = 0; ///< assigned so far
    unsigned runs_ = 0;          ///< attempts that may have run
    bool may_have_run_ = false;
    bool started_ = false; ///< the answer's head went to the caller
    bool ended_ = false;
    std::vector<std::uint64_t> tried_; ///< upstreams not to be used again
    transport::event_splitter events_;
    std::optional<transport::http_response> fallback_; ///< a failure that an upstream answered
    std::string last_reason_;
    duration first_event_{}; ///< from the request's arrival
    duration longest_gap_{}; ///< between two events
};

} // namespace medlaryoke::gateway
