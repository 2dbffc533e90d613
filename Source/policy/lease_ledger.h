#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "model/wire.pb.h"

namespace medlaryoke::policy {

/// The last accepted record of one lease.
struct lease_state {
    std::uint64_t offset = 0;
    std::uint64_t fence = 0; ///< offset of the record that began the holder's tenure
    std::string holder;
    std::uint64_t incarnation = 0;
    duration time_to_live{};
    time_point read_at{}; ///< when this reader saw the record, never before it was appended
    bool released = false;
    std::uint64_t previous_offset = 0;
    bool tentative = false; ///< its predecessor was dropped from the log before it could be checked
};

/// Time that others wait beyond the end of a lease, to cover pauses and clock drift.
/// @param time_to_live length of the lease
/// @return 10% of the length, at least 200 ms
duration lease_margin(duration time_to_live);

/// Folds the records of the leases stream: the first record that names the last accepted one as
/// its predecessor wins. Every reader accepts the same records. A reader that starts after old
/// records were dropped takes the first record it sees as tentative; a later record with a higher
/// dropped predecessor proves it wrong, since its writer knew the last accepted record. Not thread
/// safe.
class lease_ledger {
public:
    /// Folds one record.
    /// @param offset offset of the record
    /// @param record the record
    /// @param read_at when this process read it, on the monotonic clock
    /// @return whether the record was accepted
    bool apply(std::uint64_t offset, const wire::lease& record, time_point read_at);

    /// @param name name of the lease
    /// @return the last accepted record; a default state with offset 0 if there is none
    [[nodiscard]] lease_state find(const std::string& name) const;

    /// Tells whether another process may try to take a lease.
    /// @param name name of the lease
    /// @param now the current time
    /// @return true if it is free, released, or over by its length and margin since it was read
    [[nodiscard]] bool is_available(const std::string& name, time_point now) const;

    /// @return all leases by name
    [[nodiscard]] const std::map<std::string, lease_state>& leases() const { return this->leases_; }

private:
    [[nodiscard]] bool is_accepted(const wire::lease& record) const;

    std::map<std::string, lease_state> leases_;
    std::uint64_t first_offset_ = 0; ///< first offset read; 0: nothing read
};

} // namespace medlaryoke::policy
