#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/logging.h"
#include "controllers/agent_server.h"
#include "controllers/agent_status.h"
#include "controllers/claim_controller.h"
#include "controllers/config_store.h"
#include "controllers/group_member.h"
#include "controllers/upstream_runner.h"
#include "model/process_settings.h"
#include "transport/http_server.h"
#include "transport/log_client.h"
#include "transport/message_channel.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

/// Creates and connects the components of an agent, and runs them until termination is requested.
class agent_process {
public:
    /// Binds the listen addresses.
    /// @param settings the settings of the agent
    /// @throws error of kind unavailable if an address cannot be bound
    explicit agent_process(const model::agent_settings& settings);
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;
    agent_process(agent_process&&) = delete;
    agent_process& operator=(agent_process&&) = delete;
    ~agent_process();

    /// Serves until SIGTERM or SIGINT is received, then waits for the running requests to end.
    /// @throws error of kind unavailable if the drain timeout expired before all requests ended
    void run();

    /// Refuses new work and stops when all running requests have ended or the drain timeout has
    /// expired. SIGTERM has the same effect.
    void begin_drain();

    /// @return IP address and port on which entries connect
    [[nodiscard]] std::string entry_address() const;

    /// @return IP address and port of the listener for metrics and health checks
    [[nodiscard]] std::string operator_address() const;

private:
    controllers::agent_server_ports make_server_ports();
    void on_config(const controllers::config_view& config);
    void update_leaving();
    void tick_periodically();
    void send_heartbeats_periodically();
    void probe_upstream_periodically();
    void stop_when_drained(time_point deadline);
    [[nodiscard]] controllers::agent_status status() const;

    model::agent_settings settings_;
    logger log_{"agent"};
    system_clock_source clock_;
    std::uint64_t incarnation_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> configured_leaving_ = false; ///< the configured state is leaving
    std::atomic<bool> drain_timed_out_ = false;    ///< requests were running at the drain timeout
    transport::runtime runtime_;
    transport::log_client log_service_;
    controllers::config_store config_;
    std::shared_ptr<controllers::claim_controller> claims_;
    controllers::upstream_runner upstream_;
    std::shared_ptr<controllers::agent_server> server_;
    std::shared_ptr<controllers::group_member> group_;
    std::unique_ptr<transport::message_server> channel_;
    std::unique_ptr<transport::http_server> operator_server_;
};

} // namespace medlaryoke::commands
