#pragma once

#include <string>
#include <vector>

namespace medlaryoke::tests {

/// Exit code and output of a command.
struct command_result {
    int code = 0;
    std::string out; ///< text written to standard output
    std::string err; ///< text written to standard error
};

/// Runs a medlaryoke command in this process and captures its output.
/// @param arguments the arguments, without the name of the program
/// @return the exit code and the output
command_result run_command(std::vector<std::string> arguments);

} // namespace medlaryoke::tests
