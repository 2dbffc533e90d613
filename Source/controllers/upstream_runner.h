#pragma once

#include <functional>
#include <memory>
#include <string>

#include "controllers/upstream_service.h"
#include "transport/http_client.h"

namespace medlaryoke::controllers {

struct upstream_runner_options {
    std::string address; ///< IP address and port of the engine or service
    bool engine = true;  ///< requests are chat completions and get the field `priority`
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Longest pause within an answer.
    duration pause_timeout = std::chrono::seconds(10);
    /// A call that must not be repeated is waited for at least this long, because its answer is
    /// worth remembering when the caller has gone.
    duration min_wait_if_not_idempotent = std::chrono::seconds(60);
};

/// Runs dispatches against one engine or plain service over HTTP. Thread safe.
class upstream_runner final : public upstream_service {
public:
    /// @param context runs the exchanges
    /// @param options address and times
    upstream_runner(transport::runtime& context, upstream_runner_options options);

    std::shared_ptr<upstream_call> start(const wire::dispatch& request, duration time_left,
                                         upstream_events events) override;

    /// Asks the upstream for `/healthz`; any answer shows that it can be reached.
    /// @param done called once with whether the upstream answered
    void probe(const std::function<void(bool)>& done);

private:
    const upstream_runner_options options_;
    transport::http_client client_;
};

} // namespace medlaryoke::controllers
