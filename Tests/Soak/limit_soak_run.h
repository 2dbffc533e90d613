#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Soak/gateway_faults.h"
#include "Soak/soak_store.h"
#include "Soak/soak_upstream.h"

namespace medlaryoke::soak {

/// Size of a run.
struct limit_soak_options {
    unsigned seed = 1;
    unsigned gateways = 4;
    unsigned upstreams = 8;
    bool restores_store = false; ///< whether the store is restored from older copies
    std::chrono::seconds length{16};
};

/// Runs gateway processes before upstreams that name, change and end rate limits, while gateways
/// fail and connections to upstreams are reset in the middle of streams. Checks the users' rule
/// LIMIT: from the stable window after an upstream first named its limit, it gets in 4 s at most
/// one and a half times what that allows and five requests more. Counted are the requests of
/// gateways in touch that passed on such an answer half a second before or earlier. Checks besides
/// that no limit outlives the word of its upstream: after the last one has ended, all calls are
/// served.
class limit_soak_run {
public:
    limit_soak_run(const limit_soak_options& options, const std::string& directory);
    limit_soak_run(const limit_soak_run&) = delete;
    limit_soak_run& operator=(const limit_soak_run&) = delete;
    limit_soak_run(limit_soak_run&&) = delete;
    limit_soak_run& operator=(limit_soak_run&&) = delete;
    ~limit_soak_run();

    /// Sends requests and injects faults until the end of the run.
    void run();

    /// @return violated rules with their figures
    [[nodiscard]] std::vector<std::string> violations() const;

    /// @return one line with the totals of the run
    [[nodiscard]] std::string totals() const;

    [[nodiscard]] const std::vector<std::string>& faults() const
    {
        return this->gateways_->faults();
    }

private:
    using timer = gateway_faults::timer;

    /// A period in which an upstream names a limit.
    struct limited_period {
        std::size_t upstream = 0;
        double per_second = 0;
        timer::time_point begin;
        timer::time_point end;
    };

    struct call_result {
        timer::time_point at;
        bool is_served = false;
    };

    void call_until_end(unsigned seed);
    void start_limit();
    void end_limits(timer::time_point now);
    /// @return the violation of one upstream in one period; empty if the limit was kept
    [[nodiscard]] std::string check(const limited_period& period) const;
    [[nodiscard]] std::size_t served_calls(timer::time_point since, std::size_t& count) const;

    limit_soak_options options_;
    std::mt19937 random_;
    transport::runtime runtime_{1};
    soak_store store_;
    execution_counter executions_;
    std::vector<std::unique_ptr<soak_upstream>> upstreams_;
    std::unique_ptr<gateway_faults> gateways_;
    std::vector<limited_period> periods_;
    std::vector<std::optional<limited_period>> current_; ///< by upstream
    timer::time_point started_;
    timer::time_point limits_ended_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<call_result> calls_;
};

} // namespace medlaryoke::soak
