#pragma once

#include <functional>
#include <memory>
#include <string>

#include "controllers/upstream_service.h"
#include "transport/http_client.h"

namespace medlaryoke::controllers {

struct upstream_runner_options {
    std::string address;   ///< IP address and port of the engine or service
    bool is_engine = true; ///< requests are sent as chat completions with the field `priority`
    /// Maximum time to open a connection; also the time in which a probe must be answered.
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Maximum time between two parts of an answer.
    duration between_bytes_timeout = std::chrono::seconds(10);
    /// Minimum time in which a request that is not idempotent may be answered, even if its deadline
    /// is earlier: its answer is stored for repeats of the request.
    duration min_first_byte_timeout_if_not_idempotent = std::chrono::seconds(60);
};

/// Runs requests at one engine or service over HTTP. Thread safe.
class upstream_runner final : public upstream_service {
public:
    /// @param context runs the exchanges
    /// @param options address and timeouts
    upstream_runner(transport::runtime& context, upstream_runner_options options);

    std::shared_ptr<upstream_call> start(const wire::dispatch& request, duration time_left,
                                         upstream_events events) override;

    /// Requests `/healthz` of the upstream. An answer with any status shows that it is reachable.
    /// @param done called once; the argument tells whether the upstream answered
    void probe(const std::function<void(bool)>& done);

private:
    const upstream_runner_options options_;
    transport::http_client client_;
};

} // namespace medlaryoke::controllers
