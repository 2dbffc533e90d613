#pragma once

#include <mutex>
#include <vector>

#include "base/clock.h"
#include "experts/lockstep_engine.h"

namespace medlaryoke::fakes {

/// An engine that answers every order with done, and records the orders and when it was called.
class fake_lockstep_engine final : public experts::lockstep_engine {
public:
    void order(const policy::rank_order& order, std::uint64_t token, std::uint64_t /*epoch*/,
               std::function<void(policy::order_result)> done) override
    {
        {
            const std::scoped_lock lock(this->mutex_);
            this->orders_.push_back(order);
            this->tokens_.push_back(token);
            this->ordered_at_ = std::chrono::steady_clock::now();
        }
        done(policy::order_result::done);
    }

    void report(std::function<void(const std::optional<policy::rank_report>&)> done) override
    {
        {
            const std::scoped_lock lock(this->mutex_);
            this->reported_at_ = std::chrono::steady_clock::now();
        }
        policy::rank_report report;
        report.step = 7;
        report.group = "g";
        report.rank = 2;
        report.size = 16;
        done(report);
    }

    void counts(std::function<void(const std::optional<std::vector<std::uint64_t>>&)> done) override
    {
        ++this->counts_read;
        done(std::vector<std::uint64_t>{1, 2, 3});
    }

    void experts(std::function<void(const std::optional<experts::held_experts>&)> done) override
    {
        done(experts::held_experts{4, {{0, 2}, {1}}});
    }

    std::vector<std::uint64_t> tokens() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->tokens_;
    }

    /// @return time from the last order to the last read of the report
    duration report_delay() const
    {
        const std::scoped_lock lock(this->mutex_);
        return this->reported_at_ - this->ordered_at_;
    }

    int counts_read = 0;

private:
    mutable std::mutex mutex_;
    std::vector<policy::rank_order> orders_;
    std::vector<std::uint64_t> tokens_;
    time_point ordered_at_{};
    time_point reported_at_{};
};

} // namespace medlaryoke::fakes
