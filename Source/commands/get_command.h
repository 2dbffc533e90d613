#pragma once

#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// Options of the subcommand `get`.
struct get_options {
    std::string entry; ///< IP address and port of the operator listener
    std::string kind;  ///< kind of resource
    std::string name;  ///< empty: all resources of the kind
    bool json = false; ///< write JSON instead of YAML
};

/// The subcommand `get`: writes resources as YAML, which `apply` accepts, or as JSON.
class get_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Fetches resources and writes them to standard output.
    /// @param options resources to fetch and output format
    /// @throws error if the entry does not reply or the resource does not exist
    static void run(const get_options& options);
};

} // namespace medlaryoke::commands
