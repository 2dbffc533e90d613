#pragma once

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// `medlaryoke gateway`: serves callers of the platform.
class gateway_command {
public:
    /// @param app where the subcommand is added
    static void add_to(CLI::App& app);
};

} // namespace medlaryoke::commands
