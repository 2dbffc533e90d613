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

/// One part of a change: a new specification, or a deletion.
struct change_item {
    resource_key key;
    std::uint64_t expected_version = 0; ///< 0: the resource must not exist
    std::string spec;                   ///< JSON object; empty: delete the resource
};

/// A change as an operator asks for it. All its items are applied, or none.
struct config_change {
    std::string operation_id;
    std::string author;
    std::vector<change_item> items;
};

struct change_accepted {
    std::uint64_t version = 0; ///< offset of the record

    bool operator==(const change_accepted&) const = default;
};

/// Another change came first.
struct change_conflict {
    resource_key key;
    std::uint64_t expected_version = 0;
    std::uint64_t winning_version = 0; ///< 0: the resource never existed, as far as is remembered
    std::string winning_author;

    bool operator==(const change_conflict&) const = default;
};

/// The configuration as a whole would not be consistent, or a specification is not valid.
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

/// One part of a snapshot.
struct snapshot_chunk {
    std::string snapshot_id;
    std::uint64_t upto = 0; ///< last offset that the snapshot covers
    std::uint64_t index = 0;
    std::uint64_t count = 0;
    std::string data;
};

/// Cancels an operation whose append was not answered, unless its change came first.
struct change_cancel {
    std::string operation_id;
};

struct damaged_record {
    std::string reason;
};

using config_record = std::variant<config_change, change_cancel, snapshot_chunk, damaged_record>;

/// @param record a record of the stream `config`
/// @return the bytes to append; JSON
std::string encode_record(const config_change& record);
std::string encode_record(const change_cancel& record);
std::string encode_record(const snapshot_chunk& record);

/// Parses a record. Unknown keys are ignored.
/// @param data the bytes
/// @return the record; damaged_record for anything that is not one
config_record decode_record(std::string_view data);

/// A resource in force.
struct ledger_entry {
    model::resource value;
    std::uint64_t version = 0;
    std::string author;
    std::string spec; ///< JSON as written, with keys that this release does not know
};

/// Deterministic fold of the stream `config`: every reader that has folded the same records has
/// the same state. The checks of resources are part of the fold, so a release that changes them
/// must keep the result for records that earlier releases have accepted.
class config_ledger {
public:
    using entry_map = std::map<resource_key, std::shared_ptr<const ledger_entry>>;

    struct deletion {
        std::uint64_t version = 0;
        std::string author;
    };

    /// Outcomes and deletions remembered, to recognise a repeated operation id and to name the
    /// winner of a conflict. At 1,400 changes a day this is more than 17 hours.
    static constexpr std::size_t remembered_operations = 1024;

    /// Folds one record.
    /// @param offset must be one more than offset()
    /// @param record the record, as decoded; damaged records and snapshots change no resource
    /// @return whether a resource changed
    bool fold(std::uint64_t offset, const config_record& record);

    /// @return last offset folded; 0 before the first
    [[nodiscard]] std::uint64_t offset() const { return this->offset_; }

    /// @return the resources in force
    [[nodiscard]] const entry_map& entries() const { return this->entries_; }

    /// @return version and author of the latest deletions; at most remembered_operations
    [[nodiscard]] const std::map<resource_key, deletion>& deletions() const
    {
        return this->deletions_;
    }

    /// @param operation_id an operation
    /// @return how its change ended; null if it was not folded or is no longer remembered
    [[nodiscard]] const change_outcome* outcome_of(const std::string& operation_id) const;

    /// Predicts the outcome of a change if it were the next record.
    /// @param change the change
    /// @return the outcome; the version of an accepted change is offset() + 1
    [[nodiscard]] change_outcome evaluate(const config_change& change) const;

    /// @return the whole state as JSON; the same for equal states
    [[nodiscard]] std::string to_snapshot() const;

    /// @param data bytes made by to_snapshot()
    /// @return the state
    /// @throws error of kind invalid_argument if the bytes are damaged
    static config_ledger from_snapshot(std::string_view data);

private:
    struct evaluation {
        change_outcome outcome;
        entry_map entries; ///< after an accepted change
    };

    [[nodiscard]] evaluation apply(std::uint64_t offset, const config_change& change) const;
    [[nodiscard]] change_conflict make_conflict(const change_item& item) const;
    bool fold_change(std::uint64_t offset, const config_change& change);
    void remember(const std::string& operation_id, change_outcome outcome);
    void remember_deletion(const resource_key& key, std::uint64_t version,
                           const std::string& author);

    std::uint64_t offset_ = 0;
    entry_map entries_;
    std::deque<std::string> operation_order_; ///< oldest first
    std::map<std::string, change_outcome> operations_;
    std::map<resource_key, deletion> deletions_;
};

} // namespace medlaryoke::policy
