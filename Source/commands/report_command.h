#pragma once

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

/// Options of the subcommand `report`.
struct report_options {
    std::vector<std::string> entries;      ///< IP addresses and ports of operator listeners
    std::vector<std::string> sample_paths; ///< sample files to read
    std::string save_path;       ///< sample file that the samples are added to; empty: none
    std::string format = "text"; ///< text, json or html
};

/// The subcommand `report`: shows how much of the service-level error budgets has been used.
class report_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Collects samples, saves them if a file is given, and writes the report to standard output.
    /// The report lists entries that do not reply; after it has been written, they cause an error.
    /// @param options sources of the samples, and format and destination of the output
    /// @throws error if a file or an entry cannot be read; an error that ends the collection leaves
    /// the file to save to unchanged
    static void run(const report_options& options);
};

} // namespace medlaryoke::commands
