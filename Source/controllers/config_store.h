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

/// The specification of one resource and the change that set it.
template <typename Spec>
struct versioned_spec {
    Spec spec;
    std::uint64_t version = 0; ///< offset of the record that set the specification
    std::string author;
};

/// The configuration after all records up to one offset have been folded. A published view is
/// never modified.
struct config_view {
    std::uint64_t offset = 0; ///< offset of the last record folded; 0 if none was folded
    std::map<std::string, versioned_spec<model::model_group_spec>> model_groups;
    std::map<std::string, versioned_spec<model::upstream_spec>> upstreams;
    std::map<std::string, versioned_spec<model::priority_spec>> priorities;
    std::map<std::string, versioned_spec<model::caller_spec>> callers;
};

/// What the newest complete snapshot in the stream covers, and what a new reader has to read
/// besides it. Only the records that this process has folded are taken into account.
struct snapshot_coverage {
    std::uint64_t covered_offset = 0; ///< last offset in the newest complete snapshot; 0: none
    std::uint64_t oldest_needed_offset = 1; ///< oldest record that a new reader needs
    std::size_t change_count = 0;           ///< changes after the newest complete snapshot
};

/// Holds the configuration of this process and folds records of the configuration stream into it.
/// The offset never decreases. Thread safe.
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

    /// Loads the snapshot, if there is one, and folds the records. Records and snapshots at or
    /// below the current offset are skipped. Folding stops at the first gap in the offsets.
    /// @param records records or a snapshot, as received from the log or from a peer
    /// @return whether the offset increased
    bool fold(const wire::config_records& records);

    /// @param epoch of the log that holds the configuration stream
    /// @return whether the log still has the history from which this configuration was folded
    bool continues_history(std::uint64_t epoch);

    /// Collects the records that a peer at an older offset is missing.
    /// @param from_offset first offset that the peer does not have
    /// @return the records; a snapshot of the whole state if some of them are no longer retained
    [[nodiscard]] wire::config_records records_from(std::uint64_t from_offset) const;

    /// @param operation_id id of the operation
    /// @return outcome of its change; empty if the change was not folded or is no longer remembered
    [[nodiscard]] std::optional<policy::change_outcome>
    outcome_of(const std::string& operation_id) const;

    /// @param change the change to check
    /// @return the outcome that the change would have as the next record; nothing is modified
    [[nodiscard]] policy::change_outcome evaluate(const policy::config_change& change) const;

    /// @return a copy of the whole state, from which a snapshot can be written
    [[nodiscard]] policy::config_ledger ledger() const;

    /// @return what the newest complete snapshot covers and how many changes follow it
    [[nodiscard]] snapshot_coverage coverage() const;

    /// Registers a function that is called with the new configuration after each fold that
    /// increases the offset. The calls are made in offset order, and no lock is held during a call.
    /// @param fn the function
    void subscribe(std::function<void(const std::shared_ptr<const config_view>&)> fn);

    class implementation;

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
