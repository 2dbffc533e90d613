#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "model/wire.pb.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// Callbacks that report the progress of a call to an upstream. Exactly one of on_end and
/// on_failure is called, as the last one.
struct upstream_events {
    /// The status and headers of the answer arrived.
    std::function<void(const transport::http_head&)> on_head;
    /// A part of the body of the answer arrived.
    std::function<void(std::string)> on_data;
    /// The answer is complete.
    std::function<void()> on_end;
    /// The call failed. maybe_run is false only if the request certainly did not reach the
    /// upstream.
    std::function<void(bool maybe_run, const std::string& message)> on_failure;
};

/// A running call to an upstream.
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    upstream_call(upstream_call&&) = delete;
    upstream_call& operator=(upstream_call&&) = delete;
    virtual ~upstream_call() = default;

    /// Cancels the call, also at the upstream.
    virtual void cancel() = 0;
};

/// Interface through which an agent runs requests at its upstream.
class upstream_service {
public:
    upstream_service() = default;
    upstream_service(const upstream_service&) = delete;
    upstream_service& operator=(const upstream_service&) = delete;
    upstream_service(upstream_service&&) = delete;
    upstream_service& operator=(upstream_service&&) = delete;
    virtual ~upstream_service() = default;

    /// Starts a call; thread safe.
    /// @param request the request to run
    /// @param time_left time until the caller no longer waits
    /// @param events callbacks; may be called before this function returns
    /// @return the call, for cancel; may be null if it has already ended
    virtual std::shared_ptr<upstream_call> start(const wire::dispatch& request, duration time_left,
                                                 upstream_events events) = 0;
};

} // namespace medlaryoke::controllers
