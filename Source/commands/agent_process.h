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

/// Connects the parts of an agent and runs them until it is told to stop.
class agent_process {
public:
    /// Binds the addresses.
    /// @param settings the settings of the agent
    /// @throws error of kind unavailable if an address cannot be bound
    explicit agent_process(const model::agent_settings& settings);
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;
    agent_process(agent_process&&) = delete;
    agent_process& operator=(agent_process&&) = delete;
    ~agent_process();

    /// Serves until SIGTERM or SIGINT and until the running requests have ended.
    /// @throws error of kind unavailable if the drain timeout passed before that
    void run();

    /// Takes no new work and stops once nothing would be cut off; as on SIGTERM.
    void begin_drain();

    /// @return IP address and port for entries
    [[nodiscard]] std::string entry_address() const;

    /// @return IP address and port of metrics and health
    [[nodiscard]] std::string operator_address() const;

private:
    controllers::agent_server_ports make_server_ports();
    void on_config(const controllers::config_view& config);
    void update_leaving();
    void tick_regularly();
    void send_heartbeats_regularly();
    void probe_upstream_regularly();
    void stop_when_drained(time_point limit);
    [[nodiscard]] controllers::agent_status status() const;

    model::agent_settings settings_;
    logger log_{"agent"};
    system_clock_source clock_;
    std::uint64_t incarnation_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> configured_leaving_ = false;
    std::atomic<bool> cut_off_ = false;
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
