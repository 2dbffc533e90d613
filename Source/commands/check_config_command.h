#pragma once

#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// The subcommand `check-config`: reviews a configuration of the platform before it is sent.
class check_config_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Reviews a configuration and writes the findings to standard output, a line each.
    /// @param file path of the configuration, a JSON record as it is stored
    /// @param in_force path of the configuration in force; empty: differences are not shown
    /// @throws error if a file cannot be read or decoded, or if there are errors among the findings
    static void run(const std::string& file, const std::string& in_force);
};

} // namespace medlaryoke::commands
