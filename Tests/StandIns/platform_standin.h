#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Options of platform_standin.
struct platform_options {
    std::string address = "127.0.0.1:0";       ///< IP address and port; port 0 picks a free one
    std::size_t max_records = 100'000;         ///< largest number of records kept in a stream
    duration max_age = std::chrono::hours(24); ///< older records are dropped
    double appends_per_second = 0;             ///< 0: no limit
    duration instance_list_lag{};         ///< time before a changed instance list becomes visible
    std::size_t weight_bytes = 1U << 16U; ///< size of one expert's weights
    double weight_bytes_per_second = 0;   ///< of all transfers together; 0: no limit
};

/// Stand-in for the platform: log service, instance list and weight store over HTTP.
///
/// `PUT /control/faults` takes `outage` (every request gets 503), `silent` (no request is
/// answered), `delay_ms` (before a request takes effect), `lose_append_answers` (how many appends
/// are stored but not answered), `reject_appends` (every append gets 429) and `list_lag_ms`.
/// `PUT /control/instances` sets the instance list. `GET /control/stats` returns `appended` and
/// `rejected`, the numbers of stored and rejected appends.
class platform_standin {
public:
    /// @param context runs the server and the timers
    /// @param options address and limits
    platform_standin(transport::runtime& context, platform_options options);
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;
    platform_standin(platform_standin&&) = delete;
    platform_standin& operator=(platform_standin&&) = delete;
    ~platform_standin();

    /// @return the bound IP address and port
    [[nodiscard]] std::string address() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::standins
