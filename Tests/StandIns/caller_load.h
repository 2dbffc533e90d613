#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/clock.h"
#include "StandIns/workload.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Options of caller_load.
struct caller_load_options {
    std::vector<std::string> addresses; ///< IP addresses and ports of entries, or see `direct`
    bool direct = false;                ///< the addresses are engines or services, not entries
    std::vector<workload_class> classes;
    duration run_time = std::chrono::seconds(10); ///< how long new requests are sent
    duration warm_up{}; ///< start of the run whose requests are not counted
    /// Longest wait for open requests after run_time.
    duration drain_time = std::chrono::seconds(60);
    std::uint64_t seed = 1; ///< decides texts, keys, arrival times and addresses
};

/// Stand-in for the callers: sends the requests of a workload, checks every answer and measures
/// latencies.
class caller_load {
public:
    /// @param context runs the requests
    /// @param options addresses, workload and durations
    caller_load(transport::runtime& context, caller_load_options options);

    /// Starts the load.
    /// @param done called once with the summary, when all requests have ended or the drain time is
    /// over. For each class it has `sent`, `outcomes`, `statuses`, `attained` (answered within the
    /// targets), `unfinished`, and the 50th, 95th and 99th percentiles of `first_token_ms`,
    /// `token_interval_ms` and `total_ms`.
    void start(std::function<void(nlohmann::json)> done);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::standins
