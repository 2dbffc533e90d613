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

struct handover_executor_options {
    std::size_t max_body_bytes = 256U * 1024U;
    duration default_timeout = std::chrono::seconds(60);
    std::function<std::shared_ptr<const controllers::config_view>()> config;
    /// Queues a request, as request_dispatcher::submit does.
    std::function<void(controllers::work_request, std::shared_ptr<transport::response_stream>)>
        submit;
};

/// Runs work that the old router handed over, like a request of the caller that the payload names.
/// The payload is `{"caller", "method", "path", "body", "priority", "timeout_ms"}`; path, body and
/// priority are those of a caller's request, and the last two may be left out. Thread safe.
class handover_executor {
public:
    /// @param clock the time; outlives this object
    /// @param options limits, configuration and queue
    handover_executor(const clock_source& clock, handover_executor_options options);

    /// Checks the form of a payload.
    /// @param payload JSON
    /// @throws error of kind invalid_argument that names the value and the remedy
    static void check(const std::string& payload);

    /// Runs work with its id as the idempotency key.
    /// @param work_id the work
    /// @param payload JSON, as offered
    /// @param done called once with the result
    void execute(const std::string& work_id, const std::string& payload,
                 const std::function<void(controllers::work_result)>& done) const;

private:
    const clock_source& clock_;
    handover_executor_options options_;
    filter_chain chain_;
};

} // namespace medlaryoke::filters
