#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "controllers/handover_api.h"
#include "controllers/handover_controller.h"
#include "controllers/request_dispatcher.h"
#include "filters/handover_executor.h"
#include "transport/log_service.h"

namespace medlaryoke::commands {

/// @param instance name of an entry
/// @param incarnation its incarnation
/// @return the identity under which the entry runs handed-over work
std::string make_runner_name(const std::string& instance, std::uint64_t incarnation);

struct entry_handover_ports {
    controllers::delayed_call after;
    std::function<std::vector<controllers::live_runner>()> live_runners;
};

/// Connects the parts of the handover in an entry.
class entry_handover {
public:
    /// All references outlive this object.
    /// @param log the log
    /// @param clock the time
    /// @param config the configuration
    /// @param dispatcher queues the work
    /// @param runner identity of this entry
    /// @param ports timer and peers
    entry_handover(transport::log_service& log, const clock_source& clock,
                   const controllers::config_store& config,
                   controllers::request_dispatcher& dispatcher, std::string runner,
                   entry_handover_ports ports);

    /// Starts reading and running work; later calls do nothing.
    void start() { this->controller_.start(); }

    /// Starts no more work.
    void drain() { this->controller_.drain(); }

    /// @return pieces of work that this entry starts, runs or ends
    [[nodiscard]] std::size_t busy() const { return this->controller_.busy(); }

    /// @param request a request on the operator listener
    /// @param response where the answer goes
    /// @return whether the path is one of the handover; if not, nothing was answered
    bool handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& response)
    {
        return this->api_.handle(request, response);
    }

private:
    filters::handover_executor executor_;
    controllers::handover_controller controller_;
    controllers::handover_api api_;
};

} // namespace medlaryoke::commands
