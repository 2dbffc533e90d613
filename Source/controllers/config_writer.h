#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "policy/config_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

/// The change was not accepted and never will be under this operation id, unless it is sent again.
struct write_refused {
    std::string reason;
};

/// The answer of the log was lost and could not be settled yet.
struct write_unknown {
    std::string reason;
};

using write_result = std::variant<policy::change_accepted, policy::change_conflict,
                                  policy::change_invalid, write_refused, write_unknown>;

struct config_writer_options {
    duration settle_time = std::chrono::seconds(10); ///< to settle a lost answer
    /// A record whose answer was lost is looked for this long before the operation is cancelled.
    duration search_time = std::chrono::seconds(1);
    duration retry_interval = std::chrono::milliseconds(100);
};

/// Appends changes to the stream and answers after reading them back. A lost answer of the log is
/// settled by reading; if the record is not there, a config_cancel record is appended, so that the
/// change has no effect should it be stored later. Nothing is appended twice. Thread safe.
class config_writer {
public:
    /// @param log the log; outlives the writer and its callbacks
    /// @param store where records are folded; outlives the writer and its callbacks
    /// @param clock measures the limits; outlives the writer and its callbacks
    /// @param after timer
    /// @param options limits
    config_writer(transport::log_service& log, config_store& store, const clock_source& clock,
                  delayed_call after, config_writer_options options = {});
    config_writer(const config_writer&) = delete;
    config_writer& operator=(const config_writer&) = delete;
    config_writer(config_writer&&) = delete;
    config_writer& operator=(config_writer&&) = delete;
    ~config_writer();

    /// Submits a change. A repeated operation id gets the outcome of the first one.
    /// @param change the change
    /// @param done called once with the result
    void submit(policy::config_change change, std::function<void(write_result)> done);

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
