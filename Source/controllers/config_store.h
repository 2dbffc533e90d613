#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "model/resource.h"
#include "model/wire.pb.h"
#include "policy/config_ledger.h"

namespace medlaryoke::controllers {

template <typename Spec>
struct versioned {
    Spec spec;
    std::uint64_t version = 0; ///< offset of the record that set it
    std::string author;
};

/// The folded configuration at one offset; immutable once published.
struct config_view {
    std::uint64_t offset = 0; ///< last record folded; 0 before the first
    std::map<std::string, versioned<model::model_group_spec>> model_groups;
    std::map<std::string, versioned<model::upstream_spec>> upstreams;
    std::map<std::string, versioned<model::priority_spec>> priorities;
    std::map<std::string, versioned<model::caller_spec>> callers;
};

/// What a new reader of the stream would have to fold, as far as this process has seen it.
struct snapshot_need {
    std::uint64_t covered_upto = 0; ///< end of the newest complete snapshot; 0 if none was seen
    std::uint64_t first_needed = 1; ///< oldest record that a new reader needs
    std::size_t changes_since = 0;  ///< changes after that snapshot
};

/// Holds the configuration of this process and folds records into it. The offset never
/// decreases. Thread safe.
class config_store {
public:
    config_store();
    config_store(const config_store&) = delete;
    config_store& operator=(const config_store&) = delete;
    config_store(config_store&&) = delete;
    config_store& operator=(config_store&&) = delete;
    ~config_store();

    /// @return the current configuration; never null
    [[nodiscard]] std::shared_ptr<const config_view> view() const;

    /// Folds records or a snapshot; what is not newer than the current offset is skipped.
    /// @param records as received from the log or from a peer
    /// @return whether the offset grew
    bool fold(const wire::config_records& records);

    /// Collects what a peer at an older offset lacks.
    /// @param from_offset first offset the peer does not have
    /// @return records, or a snapshot if the records are no longer held
    [[nodiscard]] wire::config_records records_from(std::uint64_t from_offset) const;

    /// @param operation_id an operation
    /// @return how its change ended; empty if it was not folded or is no longer remembered
    [[nodiscard]] std::optional<policy::change_outcome>
    outcome_of(const std::string& operation_id) const;

    /// @param change a change
    /// @return its outcome if it were the next record
    [[nodiscard]] policy::change_outcome evaluate(const policy::config_change& change) const;

    /// @return the whole state, for snapshots
    [[nodiscard]] policy::config_ledger ledger() const;

    /// @return how much the stream needs a snapshot
    [[nodiscard]] snapshot_need need_of_snapshot() const;

    /// @param fn called after each fold with the new configuration, in order, outside any lock
    void subscribe(std::function<void(const std::shared_ptr<const config_view>&)> fn);

    class implementation;

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
