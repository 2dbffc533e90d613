#pragma once

#include <cstdint>
#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

struct watch_options {
    std::string entry; ///< IP address and port of the operator listener
    std::uint64_t from = 0;
};

/// The subcommand `watch`: writes one line for each change until the stream ends.
class watch_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// @param options what to follow
    /// @throws error when the stream breaks; it names the version to go on from
    static void run(const watch_options& options);
};

} // namespace medlaryoke::commands
