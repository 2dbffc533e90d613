#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "model/resource.h"

namespace medlaryoke::policy {

/// Kind and name of a resource.
using resource_key = std::pair<std::string, std::string>;

/// One item of a change: a new specification of a resource, or its deletion.
struct change_item {
    resource_key key;
    std::uint64_t expected_version = 0; ///< version to replace; 0: the resource must not exist
    std::string spec;                   ///< JSON object; empty: delete the resource
};

/// A change that an operator requests. Either all its items are applied or none.
struct config_change {
    std::string operation_id;
    std::string author;
    std::vector<change_item> items;
};

/// The change was applied.
struct change_accepted {
    std::uint64_t version = 0; ///< offset of the record; the new version of its resources

    bool operator==(const change_accepted&) const = default;
};

/// The change was rejected because the resource did not have the expected version.
struct change_conflict {
    resource_key key;
    std::uint64_t expected_version = 0;
    std::uint64_t winning_version = 0; ///< of the resource or its deletion; 0: unknown
    std::string winning_author;

    bool operator==(const change_conflict&) const = default;
};

/// The change was rejected because a specification is not valid or the resulting configuration
/// would be inconsistent.
struct change_invalid {
    std::string message;
    std::string remedy;

    bool operator==(const change_invalid&) const = default;
};

/// The operation was cancelled before its change was stored; it never takes effect.
struct change_cancelled {
    bool operator==(const change_cancelled&) const = default;
};

using change_outcome =
    std::variant<change_accepted, change_conflict, change_invalid, change_cancelled>;

/// One chunk of a snapshot, which may span several records.
struct snapshot_chunk {
    std::string snapshot_id;
    std::uint64_t upto = 0;  ///< last offset that the snapshot covers
    std::uint64_t index = 0; ///< position of this chunk, from 0
    std::uint64_t count = 0; ///< number of chunks of the snapshot
    std::string data;
};

/// Cancels an operation whose append was not answered. It has no effect if the change precedes it
/// in the stream.
struct change_cancel {
    std::string operation_id;
};

/// A record that could not be parsed.
struct damaged_record {
    std::string reason;
};

using config_record = std::variant<config_change, change_cancel, snapshot_chunk, damaged_record>;

/// @param record a record of the stream `config`
/// @return the record as JSON, to be appended to the stream
std::string encode_record(const config_change& record);
std::string encode_record(const change_cancel& record);
std::string encode_record(const snapshot_chunk& record);

/// Parses a record. Unknown JSON keys are ignored.
/// @param data the bytes of the record
/// @return the record; damaged_record if the bytes cannot be parsed
config_record decode_record(std::string_view data);

/// The current version of a resource.
struct ledger_entry {
    model::resource value;
    std::uint64_t version = 0;
    std::string author;
    std::string spec; ///< JSON as written, including keys that this release does not know
};

/// State of the configuration, built by applying the records of the stream `config` in order. This
/// is deterministic: every reader that has applied the same records has the same state. Resources
/// are validated whenever a record is applied, so a release that changes the validation must keep
/// the result for records that earlier releases have accepted.
class config_ledger {
public:
    using entry_map = std::map<resource_key, std::shared_ptr<const ledger_entry>>;

    /// Version and author of the change that deleted a resource.
    struct deletion {
        std::uint64_t version = 0;
        std::string author;
    };

    /// Number of outcomes, and of deletions, that are kept to recognise a repeated operation id and
    /// to name the author of the winning change in a conflict. At 1,400 changes a day they cover
    /// more than 17 hours.
    static constexpr std::size_t max_remembered_operations = 1024;

    /// Applies one record.
    /// @param offset offset of the record; must be offset() + 1
    /// @param record the decoded record; damaged records and snapshots change no resource
    /// @return whether a resource changed
    /// @throws error of kind internal if the offset is another one
    bool apply_record(std::uint64_t offset, const config_record& record);

    /// @return offset of the last record applied; 0 before the first
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// @return the current resources
    [[nodiscard]] const entry_map& entries() const { return this->entries_; }

    /// @return the latest deletions, at most max_remembered_operations
    [[nodiscard]] const std::map<resource_key, deletion>& deletions() const
    {
        return this->deletions_;
    }

    /// @param operation_id id of the operation
    /// @return outcome of its change; null if the change was not applied yet or its outcome is no
    /// longer kept
    [[nodiscard]] const change_outcome* outcome_of(const std::string& operation_id) const;

    /// Computes the outcome that a change would have as the next record.
    /// @param change the change
    /// @return the outcome; the version of an accepted change is offset() + 1
    [[nodiscard]] change_outcome evaluate(const config_change& change) const;

    /// @return the whole state as JSON; equal states give equal text
    [[nodiscard]] std::string to_snapshot() const;

    /// @param data JSON text made by to_snapshot()
    /// @return a ledger with the state of the snapshot
    /// @throws error of kind invalid_argument if the bytes are damaged
    static config_ledger from_snapshot(std::string_view data);

private:
    struct evaluation {
        change_outcome outcome;
        entry_map entries; ///< resources after an accepted change
    };

    [[nodiscard]] evaluation evaluate_at(std::uint64_t offset, const config_change& change) const;
    [[nodiscard]] change_conflict describe_conflict(const change_item& item) const;
    bool apply_change(std::uint64_t offset, const config_change& change);
    void remember_outcome(const std::string& operation_id, change_outcome outcome);
    void remember_deletion(const resource_key& key, std::uint64_t version,
                           const std::string& author);

    std::uint64_t offset_ = 0;
    entry_map entries_;
    std::deque<std::string> operation_ids_by_age_; ///< oldest first
    std::map<std::string, change_outcome> outcomes_by_operation_;
    std::map<resource_key, deletion> deletions_;
};

} // namespace medlaryoke::policy
