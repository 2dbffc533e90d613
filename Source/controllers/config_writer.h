#pragma once

#include <functional>
#include <variant>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/delayed_call.h"
#include "controllers/operation_writer.h"
#include "policy/config_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

using write_result = std::variant<policy::change_accepted, policy::change_conflict,
                                  policy::change_invalid, write_refused, write_unknown>;

/// Writes changes of the configuration to its stream. Thread safe.
class config_writer {
public:
    /// @param log the log; outlives the writer and its callbacks
    /// @param store where records are folded; outlives the writer and its callbacks
    /// @param clock measures the limits; outlives the writer and its callbacks
    /// @param after timer
    /// @param options limits
    config_writer(transport::log_service& log, config_store& store, const clock_source& clock,
                  delayed_call after, operation_writer_options options = {});

    /// Submits a change. A repeated operation id gets the outcome of the first one.
    /// @param change the change
    /// @param done called once with the result
    void submit(policy::config_change change, const std::function<void(write_result)>& done);

private:
    config_store& store_;
    operation_writer writer_;
};

} // namespace medlaryoke::controllers
