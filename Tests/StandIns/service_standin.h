#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Options of service_standin.
struct service_options {
    std::string address = "127.0.0.1:0"; ///< IP address and port; port 0 picks a free one
    duration delay{};                    ///< time that one call takes
    std::size_t slots = 64; ///< largest number of calls that run at once; others wait in order
    duration load_lag{};    ///< age of the load that `GET /load` reports
};

/// Stand-in for a service other than a model engine. Every call counts as one run of its key: the
/// header `Idempotency-Key`, or method and target without one. The answer is JSON with `method`,
/// `target`, `body_digest` and `run`, the number of runs of the key so far.
///
/// `GET /control/runs` returns the runs by key and their total. `PUT /control/faults` takes
/// `close_before_answer` (how many calls run and get no answer), `delay_ms` and `fail_status` (0:
/// none).
class service_standin {
public:
    /// @param context runs the server and the timers
    /// @param options address, delays and limits
    service_standin(transport::runtime& context, service_options options);
    service_standin(const service_standin&) = delete;
    service_standin& operator=(const service_standin&) = delete;
    service_standin(service_standin&&) = delete;
    service_standin& operator=(service_standin&&) = delete;
    ~service_standin();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::standins
