#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "controllers/request_record.h"

namespace medlaryoke::controllers {

/// Counters for the report on burn rates. A request is a miss if it got no complete answer within
/// the targets of its priority; each miss is counted under one cause. Cancelled requests and errors
/// of the caller count neither as a miss nor in the total.
struct request_sample {
    std::string priority;
    std::string organisation;
    std::string target; ///< model group or service
    std::uint64_t total = 0;
    std::uint64_t within_target = 0;
    std::uint64_t missed_queueing = 0; ///< late; more than half of the latency was in the queue
    std::uint64_t missed_upstream = 0; ///< late; most of the latency was at the agent or upstream
    std::uint64_t missed_refusal = 0;  ///< not run, except for a passed deadline
    std::uint64_t missed_unknown = 0;  ///< the outcome is unknown
    std::uint64_t cancelled = 0;       ///< caller disconnected or too slow, or answer too large
};

/// Counts requests and their latencies. Thread safe.
class request_statistics final : public request_observer {
public:
    request_statistics();
    request_statistics(const request_statistics&) = delete;
    request_statistics& operator=(const request_statistics&) = delete;
    request_statistics(request_statistics&&) = delete;
    request_statistics& operator=(request_statistics&&) = delete;
    ~request_statistics() override;

    void on_request_ended(const request_record& record) override;

    /// Counts a request that the filters refused.
    /// @param kind kind of the error that the caller got
    void on_filter_refusal(error_kind kind);

    /// @return counters since the start of this process, sorted by target, priority and
    /// organisation
    [[nodiscard]] std::vector<request_sample> samples() const;

    /// @return all metrics in the Prometheus text format
    [[nodiscard]] std::string metrics_text() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
