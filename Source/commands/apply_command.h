#pragma once

#include <string>

#include "base/clock.h"

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

struct apply_options {
    std::string entry; ///< IP address and port of the operator listener
    std::string file;
    std::string author;
    bool wait_in_force = false;
    duration timeout = std::chrono::seconds(30); ///< of the wait
};

/// The subcommand `apply`: sends the resources of a file as one change.
class apply_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Sends those resources of the file that differ from the ones in force, with the versions
    /// just read, so that another operator's change in between leads to a conflict.
    /// @param options what to send and where
    /// @throws error if the change is refused, or not in force in time
    static void run(const apply_options& options);
};

} // namespace medlaryoke::commands
