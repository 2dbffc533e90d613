#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

/// Name of the stream that holds configuration changes and snapshots.
constexpr std::string_view config_stream = "config";

struct config_feed_options {
    /// Maximum time that a read waits for new records. A connection that stops responding during
    /// a read is detected after this time plus the request timeout (2 s), which is within the 5 s
    /// in which a change must be in force.
    duration poll_timeout = std::chrono::seconds(1);
    /// Delay before the first retry; it doubles with each further retry up to max_retry_delay.
    duration min_retry_delay = std::chrono::milliseconds(100);
    duration max_retry_delay = std::chrono::seconds(1);
    std::size_t max_records_per_read = 512;
};

/// Reads the configuration stream continuously and folds its records into a config_store. If
/// records that the store needs have expired, the feed loads the newest complete snapshot in the
/// log. While there is no such snapshot, or the log is unavailable, peers may fill the store; the
/// feed then continues after the offset that the store has reached. Thread safe.
class config_feed {
public:
    /// @param log the log service; outlives the feed and its callbacks
    /// @param store the store that the feed fills; outlives the feed and its callbacks
    /// @param after runs a function after a delay
    /// @param options timeouts, delays and limits
    config_feed(transport::log_service& log, config_store& store, delayed_call after,
                config_feed_options options = {});
    config_feed(const config_feed&) = delete;
    config_feed& operator=(const config_feed&) = delete;
    config_feed(config_feed&&) = delete;
    config_feed& operator=(config_feed&&) = delete;

    /// Stops the feed. The result of a read that is still open is discarded.
    ~config_feed();

    /// Sends the first read.
    void start();

    /// @return whether the log answered the last read; true until the first read has ended
    [[nodiscard]] bool is_log_available() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

/// Converts records of the log to the message that config_store::fold() accepts.
/// @param records records as read from the log
/// @return the message
wire::config_records to_config_records(std::vector<transport::stored_record> records);

} // namespace medlaryoke::controllers
