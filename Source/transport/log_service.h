#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::transport {

/// The record was stored at an offset.
struct append_done {
    std::uint64_t offset = 0;
    std::uint64_t epoch = 0; ///< as in read_records
};

/// The record was not stored, and this append will not store it later.
struct append_rejected {
    std::string reason;
};

/// The reply was lost or inconclusive. The record may be stored already, or later, or never.
struct append_ambiguous {
    std::string reason;
};

using append_result = std::variant<append_done, append_rejected, append_ambiguous>;

struct stored_record {
    std::uint64_t offset = 0;
    std::string data;
};

/// Records from the requested offset on.
struct read_records {
    std::uint64_t earliest = 0; ///< lowest offset that is retained
    std::uint64_t next = 0;     ///< offset that the next appended record will have
    std::vector<stored_record> records;
    /// Rises each time the log is restored from an older copy, which loses its newest records and
    /// gives out their offsets again.
    std::uint64_t epoch = 0;
};

/// The log does not have the requested offset: its retention has ended, or the log was restored.
struct read_expired {
    std::uint64_t earliest = 0; ///< lowest offset that is retained
    std::uint64_t epoch = 0;    ///< as in read_records
};

/// The log could not be read.
struct read_unavailable {
    std::string reason;
};

using read_result = std::variant<read_records, read_expired, read_unavailable>;

/// The platform's append-only log. Offsets start at 1 in each stream and increase by 1 within an
/// epoch of the log.
class log_service {
public:
    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    log_service(log_service&&) = delete;
    log_service& operator=(log_service&&) = delete;
    virtual ~log_service() = default;

    /// Appends one record.
    /// @param stream name of the stream
    /// @param data the record's bytes
    /// @param done called once with the result
    virtual void append(const std::string& stream, std::string data,
                        std::function<void(append_result)> done) = 0;

    /// Reads records in offset order.
    /// @param stream name of the stream
    /// @param from first offset to read
    /// @param limit largest number of records
    /// @param wait how long the log may wait for a record if there is none at or after `from`
    /// @param done called once with the result
    virtual void read(const std::string& stream, std::uint64_t from, std::size_t limit,
                      duration wait, std::function<void(read_result)> done) = 0;
};

} // namespace medlaryoke::transport
