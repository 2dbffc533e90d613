#include "gateway/gateway_metrics.h"

#include <algorithm>

#include <fmt/format.h>

namespace medlaryoke::gateway {

namespace {

constexpr std::string_view prefix = "medlaryoke_gateway_";

std::string label_set(const std::string& labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

} // namespace

void latency_histogram::add(duration value)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    const auto it = std::ranges::find_if(
        bucket_bounds_ms, [ms](unsigned bound) { return ms <= static_cast<std::int64_t>(bound); });
    ++this->counts_[static_cast<std::size_t>(it - bucket_bounds_ms.begin())];
    this->sum_seconds_ += std::chrono::duration<double>(value).count();
}

std::string latency_histogram::text(const std::string& name, const std::string& labels) const
{
    constexpr double ms_per_second = 1000;
    std::string text;
    std::uint64_t cumulative_count = 0;
    const auto separator = labels.empty() ? "" : ",";
    for (std::size_t n = 0; n < bucket_bounds_ms.size(); ++n) {
        cumulative_count += this->counts_[n];
        text += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, separator,
                            bucket_bounds_ms[n] / ms_per_second, cumulative_count);
    }
    cumulative_count += this->counts_.back();
    text +=
        fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, cumulative_count);
    text += fmt::format("{}_sum{} {}\n", name, label_set(labels), this->sum_seconds_);
    text += fmt::format("{}_count{} {}\n", name, label_set(labels), cumulative_count);
    return text;
}

void gateway_metrics::count(const std::string& name, const std::string& labels)
{
    ++this->counters_[name][labels];
}

void gateway_metrics::set(const std::string& name, const std::string& labels, double value)
{
    this->gauges_[name][labels] = value;
}

void gateway_metrics::observe(const std::string& name, const std::string& labels, duration value)
{
    this->histograms_[name][labels].add(value);
}

std::string gateway_metrics::text() const
{
    std::string text;
    for (const auto& [name, series] : this->counters_) {
        text += fmt::format("# TYPE {}{}_total counter\n", prefix, name);
        for (const auto& [labels, value] : series) {
            text += fmt::format("{}{}_total{} {}\n", prefix, name, label_set(labels), value);
        }
    }
    for (const auto& [name, series] : this->gauges_) {
        text += fmt::format("# TYPE {}{} gauge\n", prefix, name);
        for (const auto& [labels, value] : series) {
            text += fmt::format("{}{}{} {}\n", prefix, name, label_set(labels), value);
        }
    }
    for (const auto& [name, series] : this->histograms_) {
        text += fmt::format("# TYPE {}{}_seconds histogram\n", prefix, name);
        for (const auto& [labels, histogram] : series) {
            text += histogram.text(fmt::format("{}{}_seconds", prefix, name), labels);
        }
    }
    return text;
}

} // namespace medlaryoke::gateway
