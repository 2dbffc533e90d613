#pragma once

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// The subcommand `gateway`: serves callers of the platform.
class gateway_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);
};

} // namespace medlaryoke::commands
