#include "commands/startup_signals.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <string_view>

#include "transport/runtime.h"

namespace medlaryoke::commands {

void hold_startup_signals(int argc, const char* const* argv)
{
    // A process without a handler for reloads goes on. A signal that is held is delivered later
    // even if it is ignored now.
    std::signal(SIGHUP, SIG_IGN);
    constexpr std::array<std::string_view, 4> servers{"gateway", "rank-agent", "entry", "agent"};
    if (argc > 1 && std::ranges::find(servers, std::string_view(argv[1])) != servers.end()) {
        transport::hold_signals();
    }
}

} // namespace medlaryoke::commands
