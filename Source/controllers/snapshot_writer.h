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
    /// At 1,400 changes a day a snapshot is written every 3 to 4 hours by this limit.
    std::size_t max_changes = 200;
    /// The log keeps records for a limited time, also those of the snapshot itself.
    duration max_age = std::chrono::minutes(30);
    duration check_interval = std::chrono::seconds(10);
    /// If no snapshot has appeared after this time, the turn goes to another entry.
    duration turn = std::chrono::minutes(1);
    std::size_t chunk_bytes = 256U * 1024U;
};

/// Writes snapshots of the folded configuration to its stream, in chunks, well before the oldest
/// record that is needed expires. One of the live entries is chosen by rendezvous hashing. Two
/// snapshots at once are harmless, so no lease is needed.
class snapshot_writer {
public:
    /// @param log the log; outlives the writer and its callbacks
    /// @param store the configuration; outlives the writer and its callbacks
    /// @param clock measures ages; outlives the writer and its callbacks
    /// @param after timer
    /// @param instance name of this entry
    /// @param live_entries returns the names of the other live entries
    /// @param options limits
    snapshot_writer(transport::log_service& log, const config_store& store,
                    const clock_source& clock, delayed_call after, std::string instance,
                    std::function<std::vector<std::string>()> live_entries,
                    snapshot_writer_options options = {});
    snapshot_writer(const snapshot_writer&) = delete;
    snapshot_writer& operator=(const snapshot_writer&) = delete;
    snapshot_writer(snapshot_writer&&) = delete;
    snapshot_writer& operator=(snapshot_writer&&) = delete;

    /// Stops the writer; a snapshot that is being written stays incomplete and is ignored.
    ~snapshot_writer();

    /// Checks regularly from now on.
    void start();

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
