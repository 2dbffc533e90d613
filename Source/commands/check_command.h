#pragma once

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// The subcommand `check`: checks settings and resources without starting anything.
class check_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Checks files. Resources of all files are checked together as one configuration.
    /// @param files paths of settings or resources
    /// @throws error if a file is not valid, or if the configuration has problems; these are
    /// written to standard error first
    static void run(const std::vector<std::string>& files);
};

} // namespace medlaryoke::commands
