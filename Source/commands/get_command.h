#pragma once

#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

struct get_options {
    std::string entry; ///< IP address and port of the operator listener
    std::string kind;
    std::string name; ///< empty: all resources of the kind
    bool json = false;
};

/// The subcommand `get`: shows resources, as YAML that `apply` reads back, or as JSON.
class get_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// @param options what to read and how to write it
    /// @throws error if the entry does not answer or the resource does not exist
    static void run(const get_options& options);
};

} // namespace medlaryoke::commands
