#pragma once

#include <string>

#include "base/clock.h"

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// Options of the subcommand `apply`.
struct apply_options {
    std::string entry;          ///< IP address and port of the operator listener
    std::string file;           ///< path of a YAML file with resources
    std::string author;         ///< recorded author of the change; empty: the value of $USER
    bool wait_in_force = false; ///< wait until all live instances have confirmed the change
    duration timeout = std::chrono::seconds(30); ///< longest wait for the confirmations
};

/// The subcommand `apply`: sends the resources of a file as one change.
class apply_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Sends the resources of the file that differ from the current ones. The change carries the
    /// versions just read, so a concurrent change by another operator causes a conflict.
    /// @param options file to send, entry to send it to, and whether to wait
    /// @throws error if the change is refused, or is not in force before the timeout
    static void run(const apply_options& options);
};

} // namespace medlaryoke::commands
