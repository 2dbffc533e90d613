#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "model/resource.h"
#include "model/wire.pb.h"

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

    /// @param fn called after each change with the new configuration, outside any lock
    void subscribe(std::function<void(const std::shared_ptr<const config_view>&)> fn);

    class implementation;

private:
    std::unique_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
