#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// Options of the subcommand `status`.
struct status_options {
    std::vector<std::string> entries; ///< IP addresses and ports of operator listeners
    bool json = false;                ///< write the replies as one JSON array
    /// Longest wait for the connection, for the first byte of a reply and between its bytes.
    duration timeout = std::chrono::seconds(2);
};

/// The subcommand `status`: shows the state of entries.
class status_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Queries all entries concurrently and writes their state to standard output.
    /// @param options entries to query and output format
    /// @return the exit code: 1 if an entry did not reply, otherwise 0
    static int run(const status_options& options);
};

} // namespace medlaryoke::commands
