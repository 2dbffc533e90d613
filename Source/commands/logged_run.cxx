#include "commands/logged_run.h"

#include <chrono>
#include <cstdlib>
#include <exception>

#include "base/error.h"
#include "commands/error_line.h"

namespace medlaryoke::commands {

namespace {

/// Longest wait for the last lines to be written. It suffices for a live reader, and is a small
/// fraction of the 8 s that the platform grants a process to stop.
constexpr auto stop_drain_timeout = std::chrono::milliseconds(300);

/// The same for a process that failed: nobody waits for its end, and its last line says why.
constexpr auto failure_drain_timeout = std::chrono::seconds(2);

void log_failure(std::string_view reason, std::string_view remedy)
{
    const event_log log("process");
    log.note(log_level::error, "ended by an error", {{"reason", reason}, {"remedy", remedy}});
    if (!drain_event_log(failure_drain_timeout)) {
        write_error_line(reason);
        std::_Exit(EXIT_FAILURE);
    }
}

} // namespace

void run_with_event_log(const event_log_options& options, const std::function<void()>& run)
{
    configure_event_log(options);
    try {
        run();
    }
    catch (const error& e) {
        log_failure(e.what(), e.remedy());
        throw;
    }
    catch (const std::exception& e) {
        log_failure(e.what(), "Report it with the log lines.");
        throw;
    }
    if (!drain_event_log(stop_drain_timeout)) {
        std::_Exit(EXIT_SUCCESS);
    }
}

} // namespace medlaryoke::commands
