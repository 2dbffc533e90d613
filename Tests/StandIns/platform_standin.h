#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

struct platform_options {
    std::string address = "127.0.0.1:0";
    std::size_t max_records = 100'000; ///< kept in each stream
    duration max_age = std::chrono::hours(24);
    double appends_per_second = 0;        ///< 0: no limit
    duration list_lag{};                  ///< before a changed instance list becomes visible
    std::size_t weight_bytes = 1U << 16U; ///< size of one expert's weights
    double weight_bytes_per_second = 0;   ///< 0: no limit
};

/// Stand-in of the platform: log service, instance list and weight store over HTTP.
///
/// `PUT /control/faults` takes `outage` (every request gets 503), `silent` (no request is
/// answered), `delay_ms` (before a request takes effect), `lose_append_answers` (how many appends
/// are stored but not answered), `reject_appends` and `list_lag_ms`. `PUT /control/instances` takes
/// the instance list. `GET /control/stats` gives counters.
class platform_standin {
public:
    /// @param context runs the service
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
