#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "policy/keyed_topic.h"
#include "policy/log_position.h"

namespace medlaryoke::gateway {

/// Records of a topic and the offset from which the next read continues.
struct keyed_records {
    std::vector<policy::keyed_record> records;
    std::uint64_t next = 0;
    std::uint64_t epoch = 0; ///< rises each time the store is restored from an older copy
};

/// The topic does not have the requested offset, because its records were deleted or the store was
/// restored. A listing still returns the newest record of each key.
struct keyed_expired {
    std::uint64_t epoch = 0; ///< as in keyed_records
};

/// The store did not respond, or responded with an error.
struct keyed_unavailable {
    std::string reason;
};

using keyed_result = std::variant<keyed_records, keyed_expired, keyed_unavailable>;

/// Interface to a store of compacted topics, which keep the newest record of each key. Callbacks
/// run on a worker thread of the runtime.
class keyed_log {
public:
    keyed_log() = default;
    keyed_log(const keyed_log&) = delete;
    keyed_log& operator=(const keyed_log&) = delete;
    keyed_log(keyed_log&&) = delete;
    keyed_log& operator=(keyed_log&&) = delete;
    virtual ~keyed_log() = default;

    /// Lists the newest record of each key.
    /// @param topic name of the topic
    /// @param done called once; `next` is the end offset of the topic when the listing began
    virtual void list(const std::string& topic, std::function<void(keyed_result)> done) = 0;

    /// Reads records from an offset on.
    /// @param topic name of the topic
    /// @param from first offset to read
    /// @param wait longest time to wait for a record if there is none yet
    /// @param done called once
    virtual void read(const std::string& topic, std::uint64_t from, duration wait,
                      std::function<void(keyed_result)> done) = 0;

    /// Uses new connections for later calls, because the open ones may have gone silent. Calls in
    /// progress go on.
    virtual void renew_connections() {}

    /// Appends a record, which becomes the newest of its key.
    /// @param topic name of the topic
    /// @param key at most 255 bytes
    /// @param value not empty
    /// @param done called once with the record's position; empty if the store did not acknowledge
    /// it
    virtual void put(const std::string& topic, const std::string& key, const std::string& value,
                     std::function<void(std::optional<policy::log_position>)> done) = 0;
};

} // namespace medlaryoke::gateway
