#pragma once

#include <cstdint>
#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// Options of the subcommand `watch`.
struct watch_options {
    std::string entry;               ///< IP address and port of the operator listener
    std::uint64_t after_version = 0; ///< changes up to this version are left out
};

/// The subcommand `watch`: writes one line for each change until the stream ends.
class watch_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Writes changes until the stream ends.
    /// @param options entry to watch and version after which to start
    /// @throws error when the stream ends; its remedy names the version from which to continue
    static void run(const watch_options& options);
};

} // namespace medlaryoke::commands
