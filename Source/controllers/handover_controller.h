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

struct work_done {
    std::string result; ///< JSON
};

/// The work was certainly not run.
struct work_not_run {
    std::string reason;
};

/// The work may have been run.
struct work_unknown {
    std::string reason;
};

using work_result = std::variant<work_done, work_not_run, work_unknown>;

using handover_result =
    std::variant<policy::handover_accepted, policy::handover_refused, write_refused, write_unknown>;

/// A live entry.
struct live_runner {
    std::string name;      ///< with its incarnation
    bool draining = false; ///< starts no more work, but ends what it runs
};

struct handover_ports {
    delayed_call after;
    std::function<std::vector<live_runner>()> live_runners; ///< the other live entries
    /// Runs work with its id as the idempotency key, so that a second run gets the first answer.
    std::function<void(const std::string& work_id, const std::string& payload,
                       std::function<void(work_result)> done)>
        execute;
};

struct handover_options {
    duration poll_time = std::chrono::seconds(1);
    duration check_interval = std::chrono::milliseconds(250);
    /// Work of an entry that is not live is taken over after this time.
    duration takeover_delay = std::chrono::seconds(5);
    duration retry_interval = std::chrono::seconds(1);
};

/// Moves work between the old router and this system over the stream `handover`, and runs the work
/// that this system owns. One entry, chosen by rendezvous hashing, runs each piece of work; another
/// one takes over if it is lost. Thread safe.
class handover_controller {
public:
    /// @param log the log; outlives this object and its callbacks
    /// @param clock the time; outlives this object and its callbacks
    /// @param runner identity of this entry, with its incarnation
    /// @param ports what it needs from others
    /// @param options intervals
    handover_controller(transport::log_service& log, const clock_source& clock, std::string runner,
                        handover_ports ports, handover_options options = {});
    handover_controller(const handover_controller&) = delete;
    handover_controller& operator=(const handover_controller&) = delete;
    handover_controller(handover_controller&&) = delete;
    handover_controller& operator=(handover_controller&&) = delete;

    /// Stops reading and starts no more work.
    ~handover_controller();

    /// Starts reading the stream and running work; later calls do nothing.
    void start();

    /// Starts no more work; what runs goes on.
    void drain();

    /// @return pieces of work that this entry starts, runs or ends
    [[nodiscard]] std::size_t busy() const;

    /// Appends a record and answers after reading it back. A repeated operation id gets the
    /// outcome of the first one.
    /// @param record the record
    /// @param done called once with the result
    void submit(policy::handover_record record, const std::function<void(handover_result)>& done);

    /// @param work_id a piece of work
    /// @return its state; empty if it is not known
    [[nodiscard]] std::optional<policy::handover_work> find(const std::string& work_id) const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
