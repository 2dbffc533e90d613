#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "controllers/delayed_call.h"
#include "controllers/operation_writer.h"
#include "policy/handover_ledger.h"
#include "transport/log_service.h"

namespace medlaryoke::controllers {

/// The work was run.
struct work_done {
    std::string result; ///< JSON
};

/// It is certain that the work was not run.
struct work_not_run {
    std::string reason;
};

/// The work may have been run.
struct work_unknown {
    std::string reason;
};

/// Result of an attempt to run a piece of work.
using work_result = std::variant<work_done, work_not_run, work_unknown>;

/// Outcome of a record that was submitted.
using handover_result =
    std::variant<policy::handover_accepted, policy::handover_refused, write_refused, write_unknown>;

/// A live entry, which may run work.
struct live_runner {
    std::string name;      ///< includes the process incarnation
    bool draining = false; ///< finishes its work but starts no more
};

/// Functions of other components that the controller calls.
struct handover_ports {
    delayed_call after;                                     ///< runs a function after a delay
    std::function<std::vector<live_runner>()> live_runners; ///< all live entries but this one
    /// Runs a piece of work with its id as the idempotency key, so that a second run returns the
    /// result of the first.
    std::function<void(const std::string& work_id, const std::string& payload,
                       std::function<void(work_result)> done)>
        execute;
};

struct handover_options {
    /// Maximum time that a read of the stream waits for new records.
    duration poll_timeout = std::chrono::seconds(1);
    /// Time between two checks for work to start or take over; also the delay before a read is
    /// retried.
    duration check_interval = std::chrono::milliseconds(250);
    /// Another entry takes work over after its runner has not been live for this time.
    duration takeover_delay = std::chrono::seconds(5);
    /// Delay before an execution that did not run, or an append that failed, is retried.
    duration retry_interval = std::chrono::seconds(1);
};

/// Transfers ownership of work between the old router and this system through the stream
/// `handover`, and runs the work that this system owns. Rendezvous hashing selects the entry that
/// runs a piece of work, its runner. If the runner is no longer live, another entry takes the work
/// over. Thread safe.
class handover_controller {
public:
    /// @param log the log service; outlives this object and its callbacks
    /// @param clock measures the takeover delay and timeouts; outlives this object and its
    /// callbacks
    /// @param runner name of this entry, including its process incarnation
    /// @param ports functions of other components
    /// @param options timeouts, delays and intervals
    handover_controller(transport::log_service& log, const clock_source& clock, std::string runner,
                        handover_ports ports, handover_options options = {});
    handover_controller(const handover_controller&) = delete;
    handover_controller& operator=(const handover_controller&) = delete;
    handover_controller(handover_controller&&) = delete;
    handover_controller& operator=(handover_controller&&) = delete;

    /// Stops reading the stream and starts no more work.
    ~handover_controller();

    /// Starts to read the stream and to run work. Later calls have no effect.
    void start();

    /// Stops starting work. Work that has been started continues.
    void drain();

    /// @return number of pieces of work that this entry is starting, running or recording the end
    /// of
    [[nodiscard]] std::size_t active_work_count() const;

    /// Appends a record, reads it back and reports its outcome. A record with the id of an earlier
    /// operation gets the outcome of that operation.
    /// @param record the record to append
    /// @param done called once with the result
    void submit(policy::handover_record record, const std::function<void(handover_result)>& done);

    /// @param work_id id of a piece of work
    /// @return its state; empty if no record of it was read or it is no longer remembered
    [[nodiscard]] std::optional<policy::handover_work> find(const std::string& work_id) const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
