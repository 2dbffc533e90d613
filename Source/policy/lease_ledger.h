#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "model/wire.pb.h"

namespace medlaryoke::policy {

/// State of one lease after its last accepted record.
struct lease_state {
    std::uint64_t offset = 0; ///< offset of the record
    std::uint64_t fence = 0;  ///< offset of the record with which the holder took the lease
    std::string holder;
    std::uint64_t incarnation = 0; ///< incarnation of the holder
    duration time_to_live{};
    time_point read_at{};  ///< when this process read the record, which is after it was appended
    bool released = false; ///< the holder gave the lease up
    std::uint64_t previous_offset = 0; ///< offset of the predecessor that the record names
    bool tentative = false; ///< the predecessor was dropped from the log before it could be checked
};

/// Time for which other processes wait after a lease has expired before they try to take it, to
/// allow for pauses of the holder and clock drift.
/// @param time_to_live duration of the lease
/// @return 10% of the duration, at least 200 ms
duration lease_margin(duration time_to_live);

/// Derives the state of leases from the records of the leases stream. Each record names a
/// predecessor, and the first record that names the last accepted record is accepted, so all
/// readers accept the same records. A reader that starts after old records were dropped from the
/// log cannot check the predecessor of the first record of a lease, and accepts it as tentative. A
/// later record with a higher dropped predecessor replaces it, because the writer of that record
/// knew the last accepted record. Not thread safe.
class lease_ledger {
public:
    /// Applies one record.
    /// @param offset offset of the record; increases with each call
    /// @param record the record
    /// @param read_at time at which this process read the record, on the monotonic clock
    /// @return whether the record was accepted
    bool apply(std::uint64_t offset, const wire::lease& record, time_point read_at);

    /// @param name name of the lease
    /// @return state of the lease; offset 0 if no record was accepted
    [[nodiscard]] lease_state find(const std::string& name) const;

    /// Tells whether another process may try to take a lease.
    /// @param name name of the lease
    /// @param now the current time
    /// @return true if the lease was never taken, was released, or expired at least its margin ago,
    /// counted from the time at which this process read the record
    [[nodiscard]] bool is_available(const std::string& name, time_point now) const;

    /// @return states of all leases by name
    [[nodiscard]] const std::map<std::string, lease_state>& leases() const { return this->leases_; }

private:
    [[nodiscard]] bool is_accepted(const wire::lease& record) const;

    std::map<std::string, lease_state> leases_;
    std::uint64_t first_offset_ = 0; ///< offset of the first record read; 0 if none
};

} // namespace medlaryoke::policy
