#pragma once

namespace medlaryoke::commands {

/// Parses the command line and runs the chosen subcommand.
/// @param argc number of arguments
/// @param argv the arguments; the first is the name of the program
/// @return the exit code: 0 for success, 1 for a failure that was reported on standard error,
/// 2 for a wrong command line
int run_command_line(int argc, char** argv);

} // namespace medlaryoke::commands
