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
    std::string name;              ///< name of the lease
    std::string holder;            ///< name of this instance
    std::uint64_t incarnation = 0; ///< incarnation of this process
    /// Time after which a lease that is not renewed expires.
    duration time_to_live = std::chrono::seconds(5);
};

/// Acquires one lease in the `leases` stream of the platform's log, and renews it. The holder
/// counts the time to live from before it sent the record, the other instances from when they read
/// the record, plus a margin, so that the lease expires at its holder first. After a restore of the
/// log, a lease whose records were lost may still be held: it is acquired only after that time.
/// Fences hold the epoch of the log, so that they rise over restores. Thread safe.
class lease_controller : public std::enable_shared_from_this<lease_controller> {
public:
    /// @param clock source of the monotonic time
    /// @param log the platform's log
    /// @param after runs a function after a delay
    /// @param options name, holder and time to live of the lease
    lease_controller(const clock_source& clock, transport::log_service& log,
                     std::function<void(duration, std::function<void()>)> after,
                     lease_controller_options options);

    /// Starts to read the stream and to acquire the lease.
    void start();

    /// Releases the lease and stops; the lease is not acquired again.
    void stop();

    /// Checks whether this process holds the lease; to be called right before each action that
    /// needs it.
    /// @return fencing token of the lease; empty if it is not held
    [[nodiscard]] std::optional<std::uint64_t> fence() const;

    /// @return time until the lease expires, zero if it is not held
    [[nodiscard]] duration time_left() const;

    /// @return the last accepted record of the lease
    [[nodiscard]] policy::lease_state state() const;

private:
    void read();
    void on_read(const transport::read_result& result);
    void apply_record(const transport::stored_record& record);
    /// Forgets what was read if the log was restored.
    /// @param epoch of the log, as stated in the result of a read
    void set_epoch(std::uint64_t epoch);
    [[nodiscard]] std::uint64_t to_fence(const policy::lease_state& state) const;
    void acquire_or_renew();
    void append(bool released);
    [[nodiscard]] bool is_own_lease(const policy::lease_state& state) const;

    const clock_source& clock_;
    transport::log_service& log_;
    const std::function<void(duration, std::function<void()>)> after_;
    const lease_controller_options options_;

    mutable std::mutex mutex_;
    policy::lease_ledger ledger_;
    /// Times just before own records were sent, by operation id.
    std::unordered_map<std::uint64_t, time_point> sent_at_by_operation_;
    std::uint64_t epoch_ = 0;       ///< of the log
    std::uint64_t next_offset_ = 1; ///< offset of the next record to read
    time_point acquire_not_before_{};
    time_point valid_until_{};
    time_point renew_at_{};
    time_point next_append_at_{};
    bool caught_up_ = false; ///< all records of the stream have been read
    bool stopped_ = false;
};

} // namespace medlaryoke::controllers
