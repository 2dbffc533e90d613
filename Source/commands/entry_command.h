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

    /// Configures logging and runs an entry until termination is requested and its requests have
    /// ended.
    /// @param settings the settings of the entry
    /// @return the exit code, always 0
    /// @throws error of kind unavailable if an address cannot be bound, or if requests were still
    /// running at the end of the drain timeout
    static int run(const model::entry_settings& settings);
};

} // namespace medlaryoke::commands
