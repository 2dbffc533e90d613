#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/handover_controller.h"
#include "controllers/work_request.h"
#include "filters/filter_chain.h"
#include "transport/http_server.h"

namespace medlaryoke::filters {

/// Limits and callbacks of a handover_executor.
struct handover_executor_options {
    std::size_t max_body_bytes = 256U * 1024U;
    duration default_timeout = std::chrono::seconds(60); ///< of work without a timeout
    std::function<std::shared_ptr<const controllers::config_view>()> config;
    /// Queues a request, as request_dispatcher::submit does.
    std::function<void(controllers::work_request, std::shared_ptr<transport::response_stream>)>
        submit;
};

/// Runs work that the old router handed over, as if the caller named in the payload had sent it as
/// a request. The payload is `{"caller", "method", "path", "body", "priority", "timeout_ms"}`;
/// path, body and priority are those of a caller's request; body, priority and timeout_ms are
/// optional. Thread safe.
class handover_executor {
public:
    /// @param clock the current time; outlives this object
    /// @param options limits, and functions that return the configuration and queue a request
    handover_executor(const clock_source& clock, handover_executor_options options);

    /// Checks the syntax of a payload.
    /// @param payload JSON
    /// @throws error of kind invalid_argument that names the value and the remedy
    static void check(const std::string& payload);

    /// Runs work, with an idempotency key made from its id.
    /// @param work_id id of the work
    /// @param payload JSON, as handed over
    /// @param done called once with the result
    void execute(const std::string& work_id, const std::string& payload,
                 const std::function<void(controllers::work_result)>& done) const;

private:
    const clock_source& clock_;
    handover_executor_options options_;
    filter_chain chain_;
};

} // namespace medlaryoke::filters
