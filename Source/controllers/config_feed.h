#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

/// Stream that holds changes of the configuration and snapshots.
constexpr std::string_view config_stream = "config";

struct config_feed_options {
    /// Longest wait of one poll. A connection that goes silent during a poll is noticed after this
    /// time and the request timeout (2 s), within the 5 s for a change to be in force.
    duration poll_time = std::chrono::seconds(1);
    duration min_retry = std::chrono::milliseconds(100);
    duration max_retry = std::chrono::seconds(1);
    std::size_t batch = 512; ///< records per read
};

/// Tails the configuration stream into a config_store. If records that the store needs have
/// expired, the newest complete snapshot in the log is used; until there is one, or while the log
/// is down, the store may be filled from peers, and the feed goes on behind what it then holds.
/// Thread safe.
class config_feed {
public:
    /// @param log the log; outlives the feed and its callbacks
    /// @param store filled by the feed; outlives the feed and its callbacks
    /// @param after timer
    /// @param options intervals
    config_feed(transport::log_service& log, config_store& store, delayed_call after,
                config_feed_options options = {});
    config_feed(const config_feed&) = delete;
    config_feed& operator=(const config_feed&) = delete;
    config_feed(config_feed&&) = delete;
    config_feed& operator=(config_feed&&) = delete;

    /// Stops the feed; an answer that arrives later is dropped.
    ~config_feed();

    /// Sends the first read.
    void start();

    /// @return whether the last read was answered; true before the first answer
    [[nodiscard]] bool is_log_available() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

/// @param records records as read from the log
/// @return the same records as config_store takes them
wire::config_records to_config_records(std::vector<transport::stored_record> records);

} // namespace medlaryoke::controllers
