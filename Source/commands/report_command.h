#pragma once

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): name of the library
class App;
}

namespace medlaryoke::commands {

struct report_options {
    std::vector<std::string> entries; ///< IP addresses and ports of operator listeners
    std::vector<std::string> samples; ///< sample files to read
    std::string save;                 ///< sample file that the samples are added to
    std::string format = "text";      ///< text, json or html
};

/// The subcommand `report`: shows the use of the service-level budgets.
class report_command {
public:
    /// Adds the subcommand.
    /// @param app the command line
    static void add_to(CLI::App& app);

    /// Collects samples, saves them if asked to, and writes the report to standard output. An entry
    /// that does not answer is noted in the report, and leads to an error once it is written.
    /// @param options what to read and how to write it
    /// @throws error if a file or an entry cannot be read; a file to save to is then unchanged
    static void run(const report_options& options);
};

} // namespace medlaryoke::commands
