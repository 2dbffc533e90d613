#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "gateway/caller_protocol.h"
#include "gateway/config_state.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_filters.h"
#include "gateway/service_dispatcher.h"
#include "model/upstream_entry.h"
#include "policy/attempt_budget.h"
#include "transport/http_server.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

class proxied_request;

struct gateway_options {
    caller_protocol protocol;
    std::string data_centre;
    policy::attempt_budget_options budget; ///< for all gateways together
    std::uint64_t seed = 0;                ///< of the random choices
};

/// Takes callers' requests by host and path to the upstreams of their service, over HTTP. Holds no
/// lock: all calls come on the one thread of its runtime, because an instance has at most one core.
class gateway {
public:
    gateway(transport::runtime& context, const clock_source& clock, gateway_options options,
            const config_state& config);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;
    ~gateway();

    /// Handles one request of a caller.
    void handle(const transport::http_request& message,
                const std::shared_ptr<transport::response_stream>& response);

    /// Refuses requests that come from now on, because there is no time left to finish them.
    void close() { this->closed_ = true; }

    /// Takes over a new configuration.
    void on_config();

    /// Replaces the list of upstreams of all services.
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams);

    /// Learns from the other gateways.
    /// @param running what they run, by upstream
    /// @param sharers number of gateways, this one included
    void set_peers(const std::unordered_map<std::uint64_t, unsigned>& running, std::size_t sharers);

    /// Replaces the bound on repeated attempts.
    /// @param budget for all gateways together
    void set_budget(const policy::attempt_budget_options& budget);

    /// Ends what is past its time; to be called every few tens of milliseconds.
    void tick();

    /// @return what this gateway runs, by upstream
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> running() const;

    [[nodiscard]] std::size_t open_requests() const { return this->open_.size(); }
    [[nodiscard]] gateway_metrics& metrics() { return this->metrics_; }

private:
    std::shared_ptr<service_dispatcher> service(const std::string& name);
    [[nodiscard]] std::string choose_service(const model::route& route);
    void refuse(const transport::http_request& message, const error& failure,
                const std::shared_ptr<transport::response_stream>& response);

    transport::runtime& context_;
    const clock_source& clock_;
    gateway_options options_;
    const config_state& config_;
    request_filters filters_;
    gateway_metrics metrics_;
    event_log log_{"gateway"};
    std::mt19937_64 random_;
    std::uint64_t last_number_ = 0;
    std::size_t sharers_ = 1;
    bool closed_ = false;
    std::unordered_map<std::uint64_t, unsigned> remote_load_;
    std::map<std::string, std::vector<model::upstream_entry>> upstreams_; ///< by service
    std::map<std::string, std::shared_ptr<service_dispatcher>> services_;
    std::unordered_map<std::uint64_t, std::shared_ptr<proxied_request>> open_;
};

} // namespace medlaryoke::gateway
