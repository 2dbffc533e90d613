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

/// The operator interface for resources: `GET|PUT|DELETE /v1/resources/<kind>/<name>`, lists at
/// `/v1/resources` and `/v1/resources/<kind>`, `POST /v1/changes` for several resources at once,
/// `GET /v1/config` for the offsets, and `GET /v1/watch?from=<version>`. Thread safe.
class resource_api {
public:
    /// @param store the configuration; outlives this object
    /// @param writer accepts changes; outlives this object
    /// @param confirmed_offset returns the lowest offset in force everywhere
    /// @param clock the time; outlives this object
    /// @param after timer
    resource_api(config_store& store, config_writer& writer,
                 std::function<std::uint64_t()> confirmed_offset, const clock_source& clock,
                 delayed_call after);
    resource_api(const resource_api&) = delete;
    resource_api& operator=(const resource_api&) = delete;
    resource_api(resource_api&&) = delete;
    resource_api& operator=(resource_api&&) = delete;
    ~resource_api();

    /// Answers a request on the operator listener. Errors are answered as typed JSON.
    /// @param request the request
    /// @param response where the answer goes
    /// @return whether the path is one of this class; if not, nothing was answered
    bool handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& response);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
