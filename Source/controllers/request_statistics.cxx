#include "controllers/request_statistics.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <tuple>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include "base/digest.h"
#include "base/sharded.h"

namespace medlaryoke::controllers {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};
/// With fewer samples, the quantile estimates of the accumulators are meaningless.
constexpr std::size_t min_quantile_samples = 16;

using latency_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

/// Latencies of one model group or service and priority.
struct latency_set {
    latency_accumulator queue_wait{acc::tag::extended_p_square::probabilities = quantiles};
    latency_accumulator first_data{acc::tag::extended_p_square::probabilities = quantiles};
    latency_accumulator total{acc::tag::extended_p_square::probabilities = quantiles};
};

struct sample_key {
    std::string priority;
    std::string organisation;
    std::string target;

    bool operator==(const sample_key&) const = default;
};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::string escape_label(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

void add_latencies(std::string& text, const std::string& name, const std::string& labels,
                   const latency_accumulator& values)
{
    if (acc::count(values) >= min_quantile_samples) {
        const auto estimates = acc::extended_p_square(values);
        auto estimate = estimates.begin();
        for (const auto quantile : quantiles) {
            text += fmt::format("{}{{{},quantile=\"{}\"}} {:.6f}\n", name, labels, quantile,
                                *estimate++);
        }
    }
    text += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, acc::sum(values));
    text += fmt::format("{}_count{{{}}} {}\n", name, labels, acc::count(values));
}

/// Returns whether the request was refused for an error of the caller, such as an idempotency key
/// that was used for another request. Service levels do not cover such requests.
bool is_caller_error(const request_record& record)
{
    return record.result == outcome::not_run &&
           (record.kind == error_kind::conflict || record.kind == error_kind::invalid_argument);
}

void count_sample(request_sample& sample, const request_record& record)
{
    if (record.cancelled) {
        ++sample.cancelled;
        return;
    }
    if (is_caller_error(record)) {
        return;
    }
    ++sample.total;
    if (record.within_target) {
        ++sample.within_target;
    }
    else if (record.result == outcome::unknown) {
        ++sample.missed_unknown;
    }
    else if (record.result == outcome::not_run && record.kind != error_kind::deadline_exceeded) {
        ++sample.missed_refusal;
    }
    else if (record.queue_wait * 2 > record.first_data) {
        ++sample.missed_queueing;
    }
    else {
        ++sample.missed_upstream;
    }
}

} // namespace

} // namespace medlaryoke::controllers

template <>
struct std::hash<medlaryoke::controllers::sample_key> {
    std::size_t operator()(const medlaryoke::controllers::sample_key& key) const noexcept
    {
        auto value = medlaryoke::hash64(key.priority);
        value = medlaryoke::hash64(key.organisation, value);
        return medlaryoke::hash64(key.target, value);
    }
};

namespace medlaryoke::controllers {

class request_statistics::implementation {
public:
    void add(const request_record& record)
    {
        const sample_key key{record.priority, record.organisation, record.target};
        this->samples_.with(key, [&](auto& entries) { count_sample(entries[key], record); });
        if (record.result == outcome::answered) {
            const std::scoped_lock lock(this->latency_mutex_);
            auto& latencies = this->latencies_[{record.target, record.priority}];
            latencies.queue_wait(seconds(record.queue_wait));
            latencies.first_data(seconds(record.first_data));
            latencies.total(seconds(record.total));
        }
    }

    void add_refusal(error_kind kind)
    {
        const std::scoped_lock lock(this->latency_mutex_);
        ++this->refusals_[kind];
    }

    std::vector<request_sample> samples()
    {
        std::vector<request_sample> result;
        this->samples_.for_each_shard([&result](const auto& entries) {
            for (const auto& [key, counters] : entries) {
                result.push_back(counters);
                result.back().priority = key.priority;
                result.back().organisation = key.organisation;
                result.back().target = key.target;
            }
        });
        std::ranges::sort(result, {}, [](const request_sample& it) {
            return std::tie(it.target, it.priority, it.organisation);
        });
        return result;
    }

    std::string metrics_text()
    {
        std::string text = "# TYPE medlaryoke_requests_total counter\n";
        for (const auto& it : this->samples()) {
            const auto labels = fmt::format("target=\"{}\",priority=\"{}\",organisation=\"{}\"",
                                            escape_label(it.target), escape_label(it.priority),
                                            escape_label(it.organisation));
            const auto add = [&text, &labels](const char* result, std::uint64_t count) {
                text += fmt::format("medlaryoke_requests_total{{{},result=\"{}\"}} {}\n", labels,
                                    result, count);
            };
            add("within_target", it.within_target);
            add("missed_queueing", it.missed_queueing);
            add("missed_upstream", it.missed_upstream);
            add("missed_refusal", it.missed_refusal);
            add("missed_unknown", it.missed_unknown);
            add("cancelled", it.cancelled);
        }
        const std::scoped_lock lock(this->latency_mutex_);
        text += "# TYPE medlaryoke_refused_by_filter_total counter\n";
        for (const auto& [kind, count] : this->refusals_) {
            text += fmt::format("medlaryoke_refused_by_filter_total{{kind=\"{}\"}} {}\n",
                                to_string(kind), count);
        }
        this->add_latency(text, "medlaryoke_queue_wait_seconds", &latency_set::queue_wait);
        this->add_latency(text, "medlaryoke_first_data_seconds", &latency_set::first_data);
        this->add_latency(text, "medlaryoke_request_seconds", &latency_set::total);
        return text;
    }

private:
    void add_latency(std::string& text, const std::string& name,
                     latency_accumulator latency_set::*member)
    {
        text += fmt::format("# TYPE {} summary\n", name);
        for (auto& [key, set] : this->latencies_) {
            const auto labels = fmt::format("target=\"{}\",priority=\"{}\"",
                                            escape_label(key.first), escape_label(key.second));
            add_latencies(text, name, labels, set.*member);
        }
    }

    sharded_map<sample_key, request_sample> samples_;
    std::mutex latency_mutex_;
    std::map<std::pair<std::string, std::string>, latency_set> latencies_;
    std::map<error_kind, std::uint64_t> refusals_;
};

request_statistics::request_statistics() : impl_(std::make_unique<implementation>()) {}

request_statistics::~request_statistics() = default;

void request_statistics::on_request_ended(const request_record& record)
{
    this->impl_->add(record);
}

void request_statistics::on_filter_refusal(error_kind kind)
{
    this->impl_->add_refusal(kind);
}

std::vector<request_sample> request_statistics::samples() const
{
    return this->impl_->samples();
}

std::string request_statistics::metrics_text() const
{
    return this->impl_->metrics_text();
}

} // namespace medlaryoke::controllers
