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
/// @param incarnation process incarnation of the entry
/// @return the name that identifies this process incarnation as a runner of handed-over work
std::string make_runner_name(const std::string& instance, std::uint64_t incarnation);

/// Functions through which the handover uses the rest of the entry.
struct entry_handover_ports {
    controllers::delayed_call after; ///< calls a function after a delay
    std::function<std::vector<controllers::live_runner>()> live_runners; ///< the other live entries
};

/// Creates and connects the components that run handed-over work in an entry.
class entry_handover {
public:
    /// All referenced objects must outlive this object.
    /// @param log the log from which work is read
    /// @param clock source of the current time
    /// @param config the configuration in force
    /// @param dispatcher queues and dispatches the work
    /// @param runner name of this entry as made by make_runner_name()
    /// @param ports timer and list of live entries
    entry_handover(transport::log_service& log, const clock_source& clock,
                   const controllers::config_store& config,
                   controllers::request_dispatcher& dispatcher, std::string runner,
                   entry_handover_ports ports);

    /// Starts reading and running work. Further calls have no effect.
    void start() { this->controller_.start(); }

    /// Stops starting new work; running work continues.
    void drain() { this->controller_.drain(); }

    /// @return the number of work items that this entry is starting, running or completing
    [[nodiscard]] std::size_t active_items() const { return this->controller_.active_work_count(); }

    /// @param request a request on the operator listener
    /// @param response receives the reply
    /// @return whether the path belongs to the handover API; if not, no reply was sent
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
