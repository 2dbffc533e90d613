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

/// Sends changes of the configuration as server-sent events: `change` and `deletion` with the
/// resource, `in_force` with a version, and comments that keep idle connections open. The id of
/// each event is the version to go on from after a reconnect. Thread safe.
class resource_watch {
public:
    /// @param store the configuration; outlives this object
    /// @param confirmed_offset returns the lowest offset in force everywhere
    resource_watch(const config_store& store, std::function<std::uint64_t()> confirmed_offset);

    /// Starts a stream.
    /// @param from events up to this version are left out
    /// @param response where the events go
    /// @throws error of kind overloaded if too many streams are open
    void open(std::uint64_t from, const std::shared_ptr<transport::response_stream>& response);

    /// Sends what has changed since the last call.
    /// @param now the current time
    void update(time_point now);

private:
    struct watcher {
        std::shared_ptr<transport::response_stream> response;
        std::shared_ptr<std::atomic<bool>> closed; ///< set when the client went away
        std::uint64_t sent_upto = 0;
        std::uint64_t sent_in_force = 0;
        time_point last_write{};
    };

    void send(watcher& target, const policy::config_ledger& ledger, std::uint64_t in_force) const;

    const config_store& store_;
    std::function<std::uint64_t()> confirmed_offset_;
    std::mutex mutex_;
    std::vector<watcher> watchers_;
};

} // namespace medlaryoke::controllers
