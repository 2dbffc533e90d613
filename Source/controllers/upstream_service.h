#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "model/wire.pb.h"
#include "transport/http_message.h"

namespace medlaryoke::controllers {

/// How a call to an upstream goes; exactly one of on_end and on_failure ends it.
struct upstream_events {
    std::function<void(const transport::http_head&)> on_head;
    std::function<void(std::string)> on_data;
    std::function<void()> on_end;
    /// The first argument is false only if the call certainly did not reach the upstream.
    std::function<void(bool maybe_run, const std::string& message)> on_failure;
};

/// One running call.
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    upstream_call(upstream_call&&) = delete;
    upstream_call& operator=(upstream_call&&) = delete;
    virtual ~upstream_call() = default;

    /// Cancels the call at the upstream.
    virtual void cancel() = 0;
};

/// Runs requests at the upstream of an agent.
class upstream_service {
public:
    upstream_service() = default;
    upstream_service(const upstream_service&) = delete;
    upstream_service& operator=(const upstream_service&) = delete;
    upstream_service(upstream_service&&) = delete;
    upstream_service& operator=(upstream_service&&) = delete;
    virtual ~upstream_service() = default;

    /// Starts a call; thread safe.
    /// @param request what to run
    /// @param time_left until the caller no longer waits
    /// @param events callbacks; may be called before this function returns
    /// @return the call, for cancel; may be null if it ended at once
    virtual std::shared_ptr<upstream_call> start(const wire::dispatch& request, duration time_left,
                                                 upstream_events events) = 0;
};

} // namespace medlaryoke::controllers
