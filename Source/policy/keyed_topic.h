#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace medlaryoke::policy {

/// A record of a topic that keeps the newest value of each key.
struct keyed_record {
    std::string key;
    std::string value; ///< empty: the key was removed
    std::uint64_t offset = 0;
};

/// The values of a topic as one reader knows them. Never goes back: a listing from a lagging copy
/// of the topic is ignored as far as newer records are known. Not thread safe.
class keyed_topic {
public:
    /// Replaces the state by a listing of all keys.
    /// @param records newest record of each key
    /// @param end offset after the last record when the listing began
    /// @return the records that change the state, with an empty value for keys that are gone
    std::vector<keyed_record> apply_listing(const std::vector<keyed_record>& records,
                                            std::uint64_t end);

    /// Adds records that follow in the log.
    /// @param records in the order of their offsets
    /// @param next offset after the last of them
    /// @return the newest change of each key
    std::vector<keyed_record> apply_records(const std::vector<keyed_record>& records,
                                            std::uint64_t next);

    /// @return offset from which to read on
    [[nodiscard]] std::uint64_t next() const { return this->next_; }

private:
    struct known_value {
        std::string value;
        std::uint64_t offset = 0;
    };

    std::map<std::string, known_value> values_;
    std::uint64_t next_ = 0;
};

} // namespace medlaryoke::policy
