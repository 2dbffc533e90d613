#include "commands/end_logging.h"

#include <chrono>
#include <cstdlib>

#include "base/event_log.h"

namespace medlaryoke::commands {

namespace {

// A reader takes the few last lines within this time; the platform's grace is 8 s.
constexpr auto drain_limit = std::chrono::milliseconds(300);

} // namespace

void end_logging()
{
    if (!drain_event_log(drain_limit)) {
        std::_Exit(EXIT_SUCCESS);
    }
}

} // namespace medlaryoke::commands
