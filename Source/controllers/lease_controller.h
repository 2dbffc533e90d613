#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "policy/lease_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

struct lease_controller_options {
    std::string name;   ///< name of the lease
    std::string holder; ///< name of this instance
    std::uint64_t incarnation = 0;
    duration time_to_live = std::chrono::seconds(5);
};

/// Contends for one lease in the `leases` stream of the platform's log, and renews it. The lease
/// counts from before its record was sent; the others count from when they read it, plus a margin.
/// Thread safe.
class lease_controller : public std::enable_shared_from_this<lease_controller> {
public:
    /// @param clock source of the monotonic time
    /// @param log the platform's log
    /// @param after runs a function later
    /// @param options name, holder and length
    lease_controller(const clock_source& clock, transport::log_service& log,
                     std::function<void(duration, std::function<void()>)> after,
                     lease_controller_options options);

    /// Starts to read the stream and to contend.
    void start();

    /// Gives the lease up and contends no more.
    void stop();

    /// Tells whether this process may act now; to be asked right before each act.
    /// @return the fence if the lease is held, else empty
    [[nodiscard]] std::optional<std::uint64_t> fence() const;

    /// @return time left of the lease, zero if it is not held
    [[nodiscard]] duration time_left() const;

    /// @return the last accepted record of the lease
    [[nodiscard]] policy::lease_state state() const;

private:
    void read();
    void on_read(const transport::read_result& result);
    void fold(const transport::stored_record& record);
    void contend();
    void append(bool released);
    [[nodiscard]] bool is_mine(const policy::lease_state& state) const;

    const clock_source& clock_;
    transport::log_service& log_;
    const std::function<void(duration, std::function<void()>)> after_;
    const lease_controller_options options_;

    mutable std::mutex mutex_;
    policy::lease_ledger ledger_;
    std::unordered_map<std::uint64_t, time_point> sent_; ///< by operation id
    std::uint64_t next_read_ = 1;
    time_point valid_until_{};
    time_point renew_at_{};
    time_point next_append_{};
    bool has_read_all_ = false;
    bool stopped_ = false;
};

} // namespace medlaryoke::controllers
