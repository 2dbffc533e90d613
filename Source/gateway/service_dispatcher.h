#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/caller_protocol.h"
#include "gateway/gateway_metrics.h"
#include "gateway/notice_exchange.h"
#include "gateway/prompt_guard.h"
#include "gateway/rate_limits.h"
#include "model/route_config.h"
#include "model/upstream_entry.h"
#include "policy/attempt_budget.h"
#include "policy/byte_budget.h"
#include "policy/cold_start.h"
#include "policy/outlier_detector.h"
#include "policy/step_time_limit.h"
#include "policy/upstream_scheduler.h"
#include "policy/waiting_policy.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

class proxied_request;

/// The upstream that an attempt is sent to.
struct upstream_target {
    std::uint64_t key = 0;         ///< hash of the id
    std::uint64_t incarnation = 0; ///< hash of the id and the start time
    std::string id;
    std::string address;
    std::shared_ptr<transport::http_client> client;
};

/// How far the limit of cold upstreams may be exceeded in a single second; see
/// policy::cold_start_limits.
struct cold_start_bounds {
    double overage = 1;
    double slack = 0;
};

/// Queues the requests of one service and assigns them to upstreams. Used on the gateway's thread.
class service_dispatcher : public std::enable_shared_from_this<service_dispatcher> {
public:
    service_dispatcher(transport::runtime& context, const clock_source& clock,
                       const caller_protocol& protocol, gateway_metrics& metrics,
                       policy::byte_budget& held_bytes, prompt_guard& guard, rate_limits& limits,
                       notice_exchange& notices, const cold_start_bounds& cold_bounds,
                       std::string_view gateway, std::string name, std::uint64_t seed);

    /// Replaces the upstreams of the service.
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                       const std::string& own_data_centre);

    /// @param running requests of the other gateways, by upstream key
    /// @param reports age of these numbers
    void set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                         const policy::load_reports& reports);

    /// @param options retry budget of all gateways together
    /// @param gateway_count number of gateways that share it, this one included
    void set_retry_budget(const policy::attempt_budget_options& options, std::size_t gateway_count);

    /// Counts a new request and queues its first attempt.
    void submit(const std::shared_ptr<proxied_request>& request);

    /// @param excluded keys of upstreams that are not considered
    /// @return whether another upstream is listed and not draining
    [[nodiscard]] bool has_alternative(const std::vector<std::uint64_t>& excluded) const;

    /// Queues another attempt.
    /// @param request the request
    /// @param excluded keys of upstreams that it is not sent to
    /// @param wait_until when its wait for an upstream times out
    void resubmit(const std::shared_ptr<proxied_request>& request,
                  const std::vector<std::uint64_t>& excluded, time_point wait_until);

    /// Removes a request from the queue, if it is there.
    void remove_waiting(std::uint64_t number);

    /// Applies the service's part of a new configuration.
    void configure(const model::route_config& config);

    /// Reports the first event of an attempt: its prompt no longer counts as being prefilled.
    /// @param upstream key of the upstream
    /// @param tokens of the prompt
    void on_first_event(std::uint64_t upstream, double tokens)
    {
        this->scheduler_.on_started(upstream, tokens);
    }

    /// Adapts the run limit to the time between two events of a stream.
    void on_event_gap(duration gap);

    /// Releases the slot of an attempt.
    /// @param upstream key of the upstream
    /// @param starting_tokens tokens of its prompt if on_started was not called for it, else 0
    void on_attempt_ended(std::uint64_t upstream, double starting_tokens);

    /// Records the outcome of an attempt; see upstream_scheduler::on_result.
    void on_attempt_result(std::uint64_t upstream, policy::call_outcome outcome,
                           std::optional<duration> latency);

    /// Takes over how much longer an upstream is cold.
    /// @param upstream hash of its id and start time
    /// @param left time that it stays cold
    void on_cold(std::uint64_t upstream, duration left);

    /// Avoids an upstream for a while, because nothing listens at its address.
    void on_unreachable(std::uint64_t upstream);

    /// Takes one retry from the retry budget.
    /// @return whether the budget allowed it
    bool try_take_retry();

    /// Counts and logs a refusal for lack of capacity if no gateway runs a request of the service.
    /// A limit that refuses although nothing runs would never change.
    /// @param request id of the refused request
    void on_refused(std::string_view request);

    /// Removes requests whose wait has timed out and dispatches others.
    void tick();

    [[nodiscard]] const std::string& name() const { return this->name_; }
    [[nodiscard]] const caller_protocol& protocol() const { return this->protocol_; }
    [[nodiscard]] const clock_source& clock() const { return this->clock_; }
    [[nodiscard]] gateway_metrics& metrics() { return this->metrics_; }
    /// @return budget of the responses that this gateway holds
    [[nodiscard]] policy::byte_budget& held_bytes() { return this->held_bytes_; }
    [[nodiscard]] prompt_guard& guard() { return this->guard_; }
    [[nodiscard]] rate_limits& limits() { return this->limits_; }
    [[nodiscard]] notice_exchange& notices() { return this->notices_; }
    [[nodiscard]] policy::waiting_policy& wait_policy() { return this->wait_policy_; }
    [[nodiscard]] const policy::upstream_scheduler& scheduler() const { return this->scheduler_; }
    [[nodiscard]] const policy::step_time_limit& step_limit() const { return this->step_limit_; }

private:
    struct connected_upstream {
        model::upstream_entry entry;
        std::shared_ptr<transport::http_client> client;
    };

    /// Notes that an upstream has started, or that its record says that it is cold.
    void note_cold_start(const model::upstream_entry& entry);
    void queue(const std::shared_ptr<proxied_request>& request, bool is_retry,
               const std::vector<std::uint64_t>& excluded, time_point wait_until);
    void dispatch();
    void update_limits();

    transport::runtime& context_;
    const clock_source& clock_;
    const caller_protocol& protocol_;
    gateway_metrics& metrics_;
    policy::byte_budget& held_bytes_;
    prompt_guard& guard_;
    rate_limits& limits_;
    notice_exchange& notices_;
    std::string name_;
    cold_start_bounds cold_bounds_;
    policy::upstream_scheduler scheduler_;
    policy::waiting_policy wait_policy_;
    policy::attempt_budget retry_budget_;
    policy::step_time_limit step_limit_;
    policy::cold_start cold_;
    bool has_upstreams_ = false; ///< a list of upstreams was set
    time_point limits_updated_at_{};
    event_log log_{"service"};
    std::unordered_map<std::uint64_t, connected_upstream> upstreams_;
    std::unordered_map<std::uint64_t, std::shared_ptr<proxied_request>> waiting_;
    bool dispatching_ = false;
};

} // namespace medlaryoke::gateway
