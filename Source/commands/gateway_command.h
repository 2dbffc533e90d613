#pragma once

namespace CLI {
class App;
} // namespace CLI

namespace medlaryoke::commands {

/// `medlaryoke gateway`: serves callers of the platform.
class gateway_command {
public:
    /// @param app where the subcommand is added
    static void add_to(CLI::App& app);
};

} // namespace medlaryoke::commands
