#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

struct snapshot_writer_options {
    /// A snapshot is due when this many changes follow the last one. At 1,400 changes a day, this
    /// limit alone leads to a snapshot every 3 to 4 hours.
    std::size_t max_changes = 200;
    /// A snapshot is due when the last one is this old. The log expires records after a limited
    /// time, including the chunks of the snapshot itself.
    duration max_age = std::chrono::minutes(30);
    /// Time between two checks whether this entry must write a snapshot.
    duration check_interval = std::chrono::seconds(10);
    /// If the selected entry has not written a snapshot after this time, another entry may be
    /// selected.
    duration selection_interval = std::chrono::minutes(1);
    std::size_t max_chunk_bytes = 256U * 1024U;
};

/// Writes snapshots of the configuration to the configuration stream, in chunks, well before the
/// oldest record that a new reader needs expires. Rendezvous hashing selects one of the live
/// entries as the writer. Two entries may write at the same time without harm, so no lease is
/// needed.
class snapshot_writer {
public:
    /// @param log the log service; outlives the writer and its callbacks
    /// @param store the configuration; outlives the writer and its callbacks
    /// @param clock measures the age of snapshots; outlives the writer and its callbacks
    /// @param after runs a function after a delay
    /// @param entry_name name of this entry
    /// @param live_entries returns the names of the other live entries
    /// @param options limits and intervals
    snapshot_writer(transport::log_service& log, const config_store& store,
                    const clock_source& clock, delayed_call after, std::string entry_name,
                    std::function<std::vector<std::string>()> live_entries,
                    snapshot_writer_options options = {});
    snapshot_writer(const snapshot_writer&) = delete;
    snapshot_writer& operator=(const snapshot_writer&) = delete;
    snapshot_writer(snapshot_writer&&) = delete;
    snapshot_writer& operator=(snapshot_writer&&) = delete;

    /// Stops the writer. A snapshot that is being written stays incomplete, and readers ignore it.
    ~snapshot_writer();

    /// Starts to check periodically whether a snapshot must be written.
    void start();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
