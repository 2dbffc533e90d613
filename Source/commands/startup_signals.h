#pragma once

namespace medlaryoke::commands {

/// Keeps the signals that stop or reload a process pending until its handlers are installed, if the
/// arguments start a process that serves. Such a signal would otherwise end it during its start.
/// To be called first in main(); see transport::runtime, which delivers them.
/// @param argc number of arguments
/// @param argv arguments, beginning with the name of the program
void hold_startup_signals(int argc, const char* const* argv);

} // namespace medlaryoke::commands
