#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// Sends configuration changes to operators as server-sent events: `change` and `deletion` with the
/// resource, `in_force` with a version that is in force on all processes, and comments that keep
/// idle connections open. The id of each event is the version from which a client resumes after a
/// reconnect. Thread safe.
class resource_watch {
public:
    /// @param store configuration whose changes are sent; outlives this object
    /// @param confirmed_offset returns the highest offset that is in force on all processes
    resource_watch(const config_store& store, std::function<std::uint64_t()> confirmed_offset);

    /// Opens a stream of events.
    /// @param from_version version from which the client resumes; only later events are sent
    /// @param response receives the events
    /// @throws error of kind overloaded if too many streams are open
    void open(std::uint64_t from_version,
              const std::shared_ptr<transport::response_stream>& response);

    /// Sends the events since the last call to each stream, and a keep-alive comment to streams
    /// that have been idle.
    /// @param now the current time
    void update(time_point now);

private:
    struct watch_stream {
        std::shared_ptr<transport::response_stream> response;
        std::shared_ptr<std::atomic<bool>> closed; ///< set when the connection has ended
        std::uint64_t sent_version = 0;            ///< events up to this version were sent
        std::uint64_t sent_in_force_version = 0;   ///< last version sent as in force
        time_point last_write_at{};
    };

    void send(watch_stream& stream, const policy::config_ledger& ledger,
              std::uint64_t in_force_version) const;

    const config_store& store_;
    std::function<std::uint64_t()> confirmed_offset_;
    std::mutex mutex_;
    std::vector<watch_stream> streams_;
};

} // namespace medlaryoke::controllers
