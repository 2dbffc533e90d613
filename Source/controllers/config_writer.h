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

/// Outcome of a change that was submitted.
using write_result = std::variant<policy::change_accepted, policy::change_conflict,
                                  policy::change_invalid, write_refused, write_unknown>;

/// Appends changes to the configuration stream and reports their outcomes. Thread safe.
class config_writer {
public:
    /// @param log the log service; outlives the writer and its callbacks
    /// @param store folds the records that the writer reads back; outlives the writer and its
    /// callbacks
    /// @param clock measures timeouts; outlives the writer and its callbacks
    /// @param after runs a function after a delay
    /// @param options timeouts and intervals
    config_writer(transport::log_service& log, config_store& store, const clock_source& clock,
                  delayed_call after, operation_writer_options options = {});

    /// Submits a change. A change with the id of an earlier operation is not applied again; it
    /// gets the outcome of that operation.
    /// @param change the change
    /// @param done called once with the result
    void submit(policy::config_change change, const std::function<void(write_result)>& done);

private:
    config_store& store_;
    operation_writer writer_;
};

} // namespace medlaryoke::controllers
