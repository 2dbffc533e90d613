#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace medlaryoke::gateway {

/// A Prometheus histogram of latencies with fixed bucket bounds.
class latency_histogram {
public:
    void add(duration value);

    /// Formats the histogram as Prometheus text.
    /// @param name of the metric, without labels
    /// @param labels such as `service="desk"`
    [[nodiscard]] std::string text(const std::string& name, const std::string& labels) const;

private:
    static constexpr std::array<unsigned, 12> bucket_bounds_ms{1,   5,   10,  25,   50,   100,
                                                               200, 400, 800, 1500, 3000, 8000};
    std::array<std::uint64_t, bucket_bounds_ms.size() + 1> counts_{};
    double sum_seconds_ = 0;
};

/// Counters, gauges and latency histograms of one gateway. Not thread safe; used on the gateway's
/// thread.
class gateway_metrics {
public:
    /// Increments a counter.
    /// @param name of the counter, such as `requests_ended`
    /// @param labels such as `outcome="refused"`; may be empty
    void count(const std::string& name, const std::string& labels = {});

    /// Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    /// Adds a latency to a histogram.
    void observe(const std::string& name, const std::string& labels, duration value);

    /// @return all metrics as Prometheus text
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>> counters_;
    std::map<std::string, std::map<std::string, double>> gauges_;
    std::map<std::string, std::map<std::string, latency_histogram>> histograms_;
};

} // namespace medlaryoke::gateway
