#pragma once

namespace medlaryoke::commands {

/// Makes a process that serves independent of what surrounds its start, if the arguments start one;
/// other commands keep the system's defaults:
/// - signals that stop or reload it stay pending until its handlers are installed, and would
///   otherwise end it; transport::runtime delivers them;
/// - a log whose reader is gone or whose file is full makes writes fail, not the process end;
/// - closed standard descriptors are opened, so that no socket gets their numbers and the log
/// lines;
/// - an exception that nothing catches is written to standard error before the process ends.
///
/// To be called first in main().
/// @param argc number of arguments
/// @param argv arguments, beginning with the name of the program
void prepare_server_environment(int argc, const char* const* argv);

} // namespace medlaryoke::commands
