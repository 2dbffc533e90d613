#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/log_position.h"

namespace medlaryoke::policy {

/// A record of a topic in which the newest record of a key is its value.
struct keyed_record {
    std::string key;
    std::string value; ///< empty if the key was removed
    std::uint64_t offset = 0;
};

/// Where changes of a topic come from.
enum class change_origin {
    log,           ///< they follow what is known
    restored_copy, ///< a listing of a restored store: values may be older than what is known
};

/// The current value of each key of a topic as known to one reader. Values never revert to older
/// ones: records in a listing from a lagging replica are ignored if newer records of their keys are
/// known. In a new epoch of the store no offset is known, and the listing replaces all values.
/// Not thread safe.
class keyed_topic {
public:
    /// Updates the values from a listing of all keys.
    /// @param records newest record of each key
    /// @param end offset after the last record of the topic when the listing began
    /// @return the records that change a value, and a record with an empty value for each key that
    /// was removed
    std::vector<keyed_record> apply_listing(const std::vector<keyed_record>& records,
                                            log_position end);

    /// Applies the records that follow in the log, in the same epoch.
    /// @param records records in the order of their offsets
    /// @param next_offset offset after the last of the records
    /// @return the newest record of each key whose value changed
    std::vector<keyed_record> apply_records(const std::vector<keyed_record>& records,
                                            std::uint64_t next_offset);

    /// @return epoch of the last listing and offset of the next record to read
    [[nodiscard]] log_position position() const { return {this->epoch_, this->next_offset_}; }

    /// @return number of records that were ignored because a newer one of their key is known
    [[nodiscard]] std::uint64_t ignored_records() const { return this->ignored_records_; }

private:
    struct known_value {
        std::string value;
        std::uint64_t offset = 0;
    };

    std::vector<keyed_record> replace_values(const std::vector<keyed_record>& records,
                                             log_position end);

    std::map<std::string, known_value> values_;
    std::uint64_t epoch_ = 0;
    std::uint64_t next_offset_ = 0;
    std::uint64_t ignored_records_ = 0;
};

} // namespace medlaryoke::policy
