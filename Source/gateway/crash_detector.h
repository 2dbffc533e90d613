#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "policy/upstream_crash.h"
#include "transport/connection_check.h"
#include "transport/runtime.h"

namespace medlaryoke::gateway {

/// Finds out whether an upstream that closed a connection in the middle of an answer has ended, or
/// only the connection. Used on the gateway's thread.
class crash_detector {
public:
    using crash_handler = std::function<void(const policy::upstream_crash&)>;

    /// @param context runs the checks
    /// @param clock source of the current time
    /// @param on_crash called for each upstream that has ended, before the results of its checks
    crash_detector(transport::runtime& context, const clock_source& clock, crash_handler on_crash)
        : context_(context), clock_(clock), on_crash_(std::move(on_crash))
    {
    }

    /// Checks an upstream. Checks of the same upstream at the same time share one connection.
    /// @param upstream hash of the id and the start time of the upstream
    /// @param address of the upstream
    /// @param suspect the request that was not answered
    /// @param done called once with whether the upstream has ended
    void check(std::uint64_t upstream, const std::string& address, policy::crash_suspect suspect,
               std::function<void(bool ended)> done);

private:
    struct pending_check {
        policy::upstream_crash crash;
        std::vector<std::function<void(bool)>> handlers;
    };

    void on_result(std::uint64_t upstream, const std::string& address,
                   transport::connection_state state);

    transport::runtime& context_;
    const clock_source& clock_;
    crash_handler on_crash_;
    std::unordered_map<std::uint64_t, pending_check> pending_;
    event_log log_{"crash"};
};

} // namespace medlaryoke::gateway
