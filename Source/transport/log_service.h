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
};

/// The log refused the record; it is not stored and never will be by this call.
struct append_rejected {
    std::string reason;
};

/// The answer was lost; the record may or may not be stored, now or later.
struct append_ambiguous {
    std::string reason;
};

using append_result = std::variant<append_done, append_rejected, append_ambiguous>;

struct stored_record {
    std::uint64_t offset = 0;
    std::string data;
};

struct read_records {
    std::uint64_t earliest = 0; ///< first offset still kept
    std::uint64_t next = 0;     ///< offset of the next record to be appended
    std::vector<stored_record> records;
};

/// The offset asked for was already dropped.
struct read_expired {
    std::uint64_t earliest = 0;
};

struct read_unavailable {
    std::string reason;
};

using read_result = std::variant<read_records, read_expired, read_unavailable>;

/// The platform's append-only log. Offsets start at 1 in each stream and grow by 1.
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
    /// @param from first offset wanted
    /// @param limit largest number of records
    /// @param wait how long to wait for a record if there is none yet
    /// @param done called once with the result
    virtual void read(const std::string& stream, std::uint64_t from, std::size_t limit,
                      duration wait, std::function<void(read_result)> done) = 0;
};

} // namespace medlaryoke::transport
