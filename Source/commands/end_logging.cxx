#include "commands/end_logging.h"

#include <chrono>
#include <cstdlib>

#include "base/event_log.h"

namespace medlaryoke::commands {

namespace {

/// Longest wait for the last lines to be written. It suffices for a live reader, and is a small
/// fraction of the 8 s that the platform grants a process to stop.
constexpr auto drain_timeout = std::chrono::milliseconds(300);

} // namespace

void end_logging()
{
    if (!drain_event_log(drain_timeout)) {
        std::_Exit(EXIT_SUCCESS);
    }
}

} // namespace medlaryoke::commands
