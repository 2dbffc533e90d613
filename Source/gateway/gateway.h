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
#include "gateway/notice_exchange.h"
#include "gateway/prompt_guard.h"
#include "gateway/rate_limits.h"
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
    std::string instance; ///< name of the gateway
    std::string data_centre;
    policy::attempt_budget_options retry_budget; ///< shared by all gateways
    std::uint64_t seed = 0;                      ///< seeds the random choices
    /// Bytes of responses that are held at the same time until they are complete. A response that
    /// would exceed them fails.
    std::size_t max_held_response_bytes = 64U * 1024U * 1024U;
    policy::quarantine_options quarantine;
    cold_start_bounds cold_start;
};

/// Routes callers' HTTP requests by host and path to the upstreams of a service. Uses no locks: all
/// calls are made on the single thread of its runtime, as an instance has at most one core.
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

    /// Refuses new requests from now on, because the process stops before they could end.
    void refuse_new_requests() { this->refuses_new_requests_ = true; }

    /// Applies the active configuration to all services.
    void apply_config();

    /// @param handler called with parts of prompts that are quarantined from now on
    void on_quarantined(prompt_guard::quarantine_handler handler)
    {
        this->on_quarantined_ = std::move(handler);
    }

    /// Replaces the list of upstreams of all services.
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams);

    /// Updates the load and the number of the other gateways.
    /// @param running requests that they run, by upstream key
    /// @param reports age of these numbers
    /// @param gateway_count number of gateways, this one included
    void set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                         const policy::load_reports& reports, std::size_t gateway_count);

    /// Replaces the retry budget.
    /// @param budget shared by all gateways
    void set_retry_budget(const policy::attempt_budget_options& budget);

    /// Enforces the requests' timeouts; to be called every few tens of milliseconds.
    void tick();

    /// Sets the gauges of the services: run limit, work factor and running requests per upstream.
    void update_gauges();

    /// @return requests that this gateway runs, by upstream key
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> running_by_upstream() const;

    /// @return bytes of upstreams' answers that are not complete yet
    [[nodiscard]] std::size_t held_answer_bytes() const { return this->held_bytes_.held(); }

    [[nodiscard]] std::size_t open_requests() const { return this->open_requests_.size(); }
    [[nodiscard]] gateway_metrics& metrics() { return this->metrics_; }
    [[nodiscard]] prompt_guard& guard() { return this->guard_; }
    [[nodiscard]] rate_limits& limits() { return this->limits_; }
    [[nodiscard]] notice_exchange& notices() { return this->notices_; }

private:
    std::shared_ptr<service_dispatcher> dispatcher_for(const std::string& name);
    [[nodiscard]] std::string choose_service(const model::route& route);
    /// Ends the requests that hold parts which were quarantined meanwhile.
    void on_new_quarantine(const std::vector<policy::quarantined_part>& parts);
    /// @return the open requests; an entry may end while the others are visited
    [[nodiscard]] std::vector<std::shared_ptr<proxied_request>> all_requests() const;
    void refuse(const transport::http_request& message, const error& failure, duration retry_after,
                const std::shared_ptr<transport::response_stream>& response);

    transport::runtime& context_;
    const clock_source& clock_;
    gateway_options options_;
    const config_state& config_;
    request_filters filters_;
    gateway_metrics metrics_;
    policy::byte_budget held_bytes_{options_.max_held_response_bytes};
    prompt_guard::quarantine_handler on_quarantined_;
    prompt_guard guard_;
    rate_limits limits_{clock_, metrics_, options_.instance, options_.seed};
    notice_exchange notices_{clock_, metrics_};
    event_log log_{"gateway"};
    std::mt19937_64 random_;
    std::uint64_t last_request_number_ = 0;
    std::size_t gateway_count_ = 1;
    bool refuses_new_requests_ = false;
    std::unordered_map<std::uint64_t, unsigned> remote_load_;
    policy::load_reports load_reports_;
    std::map<std::string, std::vector<model::upstream_entry>> upstreams_by_service_;
    std::map<std::string, std::shared_ptr<service_dispatcher>> dispatchers_;
    std::unordered_map<std::uint64_t, std::shared_ptr<proxied_request>> open_requests_;
};

} // namespace medlaryoke::gateway
