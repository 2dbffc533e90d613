#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/config_writer.h"
#include "controllers/delayed_call.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// The HTTP interface for resources on the operator listener:
/// - `GET|PUT|DELETE /v1/resources/<kind>/<name>` for one resource,
/// - `GET /v1/resources` and `GET /v1/resources/<kind>` for lists,
/// - `POST /v1/changes` to change several resources atomically,
/// - `GET /v1/config` for the offsets,
/// - `GET /v1/watch?from=<version>` for a stream of changes.
///
/// Thread safe.
class resource_api {
public:
    /// @param store configuration that is read; outlives this object
    /// @param writer appends changes to the log; outlives this object
    /// @param confirmed_offset returns the highest offset that is in force on all processes
    /// @param clock measures the keep-alive interval of watches; outlives this object
    /// @param after runs a function after a delay
    resource_api(config_store& store, config_writer& writer,
                 std::function<std::uint64_t()> confirmed_offset, const clock_source& clock,
                 delayed_call after);
    resource_api(const resource_api&) = delete;
    resource_api& operator=(const resource_api&) = delete;
    resource_api(resource_api&&) = delete;
    resource_api& operator=(resource_api&&) = delete;
    ~resource_api();

    /// Handles a request on the operator listener. Errors are reported as typed JSON.
    /// @param request the request
    /// @param response receives the response, possibly after this call has returned
    /// @return whether the path belongs to this interface; if not, no response is sent
    bool handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& response);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
