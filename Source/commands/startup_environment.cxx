#include "commands/startup_environment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include "commands/error_line.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

namespace {

void open_standard_descriptors()
{
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(descriptor, F_GETFD) < 0) {
            // The lowest free number is given out, which is this one.
            [[maybe_unused]] const int opened = ::open("/dev/null", O_RDWR);
        }
    }
}

[[noreturn]] void report_uncaught_exception()
{
    try {
        if (const auto current = std::current_exception()) {
            std::rethrow_exception(current);
        }
        write_error_line("ended by std::terminate");
    }
    catch (const std::exception& e) {
        write_error_line(std::string("ended by an uncaught exception: ") + e.what());
    }
    catch (...) {
        write_error_line("ended by an uncaught exception");
    }
    std::abort();
}

bool is_server(int argc, const char* const* argv)
{
    constexpr std::array<std::string_view, 4> servers{"gateway", "rank-agent", "entry", "agent"};
    return argc > 1 && std::ranges::find(servers, std::string_view(argv[1])) != servers.end();
}

/// Bounds the address space that the allocator reserves, which systems may limit like memory. An
/// arena of its own for each thread takes 64 MB, half of what a small process may have.
void bound_address_space()
{
    ::mallopt(M_ARENA_MAX, 1);
}

/// Runs before the constructors of all libraries. A signal that arrives earlier, while the system
/// loads the libraries, still ends the process.
void hold_early_signals(int argc, char** argv, char** /*environment*/)
{
    if (is_server(argc, argv)) {
        transport::hold_signals();
    }
}

[[gnu::section(".preinit_array"),
  gnu::used]] void (*const early_handler)(int, char**, char**) = hold_early_signals;

} // namespace

void prepare_server_environment(int argc, const char* const* argv)
{
    if (!is_server(argc, argv)) {
        return;
    }
    bound_address_space();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    open_standard_descriptors();
    std::set_terminate(report_uncaught_exception);
}

} // namespace medlaryoke::commands
