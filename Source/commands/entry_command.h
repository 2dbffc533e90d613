#pragma once

#include "model/process_settings.h"

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// The subcommand `entry`: serves callers and operators.
class entry_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Runs an entry until it was told to stop and its requests have ended.
    /// @param settings the settings of the entry
    /// @return the exit code
    static int run(const model::entry_settings& settings);
};

} // namespace medlaryoke::commands
