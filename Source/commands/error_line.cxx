#include "commands/error_line.h"

#include <iostream>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace medlaryoke::commands {

void write_error_line(std::string_view text)
{
    pollfd output{STDERR_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) > 0) {
        std::cerr << fmt::format("medlaryoke: {}\n", text) << std::flush;
    }
}

} // namespace medlaryoke::commands
