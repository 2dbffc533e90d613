#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "gateway/gateway_fixture.h"

namespace medlaryoke::gateway {

/// Serves the upstreams of a fixture with answers that may name a rate limit.
class limited_upstreams {
public:
    explicit limited_upstreams(gateway_fixture& fixture);
    limited_upstreams(const limited_upstreams&) = delete;
    limited_upstreams& operator=(const limited_upstreams&) = delete;
    limited_upstreams(limited_upstreams&&) = delete;
    limited_upstreams& operator=(limited_upstreams&&) = delete;
    ~limited_upstreams();

    /// @param index of the upstream
    /// @param limit text of the limit in its answers from now on; empty for none
    void set_limit(std::size_t index, const std::string& limit);

    /// @param index of the upstream
    /// @param status status line of its answers from now on
    void set_status(std::size_t index, const std::string& status);

    /// @param index of the upstream
    /// @param headers further header lines of its answers from now on, each with CRLF
    void set_headers(std::size_t index, const std::string& headers);

    /// @return when requests reached an upstream
    [[nodiscard]] std::vector<time_point> arrivals(std::size_t index) const;

private:
    struct behaviour {
        std::string limit;
        std::string headers;
        std::string status = "200 OK";
        std::vector<time_point> arrivals;
    };

    void serve();
    void answer(std::size_t index);

    gateway_fixture& fixture_;
    mutable std::mutex mutex_;
    std::vector<behaviour> behaviours_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/// @param arrivals times, in order
/// @param since arrivals before it are left out
/// @param window length of the sliding window
/// @return largest number of arrivals in a window
std::size_t busiest_window(const std::vector<time_point>& arrivals, time_point since,
                           duration window);

} // namespace medlaryoke::gateway
