#pragma once

#include <string>
#include <vector>

namespace medlaryoke::tests {

struct command_result {
    int code = 0;
    std::string out;
    std::string err;
};

/// Runs the command line of the product in this process.
/// @param arguments without the name of the program
/// @return exit code and output
command_result run_command(std::vector<std::string> arguments);

} // namespace medlaryoke::tests
