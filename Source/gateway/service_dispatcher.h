#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "gateway/caller_protocol.h"
#include "gateway/gateway_metrics.h"
#include "model/route_config.h"
#include "model/upstream_entry.h"
#include "policy/attempt_budget.h"
#include "policy/outlier_detector.h"
#include "policy/pace_limit.h"
#include "policy/upstream_scheduler.h"
#include "policy/waiting_policy.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

class proxied_request;

/// Where an attempt of a request goes.
struct upstream_target {
    std::uint64_t key = 0; ///< hash of the id
    std::string id;
    std::shared_ptr<transport::http_client> client;
};

/// The waiting and running requests of one service. Used on the gateway's thread.
class service_dispatcher : public std::enable_shared_from_this<service_dispatcher> {
public:
    service_dispatcher(transport::runtime& context, const clock_source& clock,
                       const caller_protocol& protocol, gateway_metrics& metrics, std::string name,
                       std::uint64_t seed);

    /// Replaces the upstreams of the service.
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                       const std::string& own_data_centre);

    void set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running);
    void set_budget(const policy::attempt_budget_options& options, std::size_t sharers);

    /// Counts a new request and queues its first attempt.
    void submit(const std::shared_ptr<proxied_request>& request);

    /// @param excluded upstreams that were tried
    /// @return whether another one is in the list and not draining
    [[nodiscard]] bool has_other(const std::vector<std::uint64_t>& excluded) const;

    /// Queues another attempt.
    /// @param request the request
    /// @param excluded upstreams that it is not sent to again
    /// @param wait_until given up if not sent by then
    void resubmit(const std::shared_ptr<proxied_request>& request,
                  const std::vector<std::uint64_t>& excluded, time_point wait_until);

    /// Removes a waiting request.
    void withdraw(std::uint64_t number);

    /// Sets what the configuration says of the service.
    void configure(const model::route_config& config);

    /// Learns that the first event of an attempt has come.
    void on_started(std::uint64_t upstream, double tokens)
    {
        this->scheduler_.on_started(upstream, tokens);
    }

    /// Learns from a pause between two events of a stream.
    void on_gap(duration gap);

    /// Returns the slot of an attempt.
    /// @param upstream where it was sent
    /// @param starting_tokens tokens of its prompt if on_started was not called for it, else 0
    void on_end(std::uint64_t upstream, double starting_tokens);

    /// Learns how an attempt went; see upstream_scheduler::on_result.
    void on_result(std::uint64_t upstream, policy::call_outcome outcome,
                   std::optional<duration> latency);

    /// Takes one attempt beyond the first of a request from the shared budget.
    /// @return whether it may be made
    bool try_retry();

    /// Gives up requests that waited too long.
    void tick();

    [[nodiscard]] const std::string& name() const { return this->name_; }
    [[nodiscard]] const caller_protocol& protocol() const { return this->protocol_; }
    [[nodiscard]] const clock_source& clock() const { return this->clock_; }
    [[nodiscard]] gateway_metrics& metrics() { return this->metrics_; }
    [[nodiscard]] policy::waiting_policy& waiting_rules() { return this->waiting_rules_; }
    [[nodiscard]] const policy::upstream_scheduler& scheduler() const { return this->scheduler_; }
    [[nodiscard]] const policy::pace_limit& pace() const { return this->pace_; }

private:
    struct connected_upstream {
        model::upstream_entry entry;
        std::shared_ptr<transport::http_client> client;
    };

    void queue(const std::shared_ptr<proxied_request>& request, bool repeated,
               const std::vector<std::uint64_t>& excluded, time_point wait_until);
    void dispatch();

    transport::runtime& context_;
    const clock_source& clock_;
    const caller_protocol& protocol_;
    gateway_metrics& metrics_;
    std::string name_;
    policy::upstream_scheduler scheduler_;
    policy::waiting_policy waiting_rules_;
    policy::attempt_budget budget_;
    policy::pace_limit pace_;
    std::unordered_map<std::uint64_t, connected_upstream> upstreams_;
    std::unordered_map<std::uint64_t, std::shared_ptr<proxied_request>> waiting_;
    bool dispatching_ = false;
};

} // namespace medlaryoke::gateway
