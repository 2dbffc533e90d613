#pragma once

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// The subcommand `rank-agent`: runs the rank agent of an engine, on the machine of that engine.
class rank_agent_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);
};

} // namespace medlaryoke::commands
