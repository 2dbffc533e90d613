#pragma once

#include <functional>

#include "base/event_log.h"

namespace medlaryoke::commands {

/// Sets up the structured log, runs a process that serves, and writes its last log lines, also if
/// it fails. If the output is blocked then, exits the process at once, because the writing thread
/// would prevent a normal exit: with success if the process was stopped, with failure if it failed.
/// @param options of the structured log
/// @param run serves until the process is to stop
/// @throws std::exception whatever `run` throws
void run_with_event_log(const event_log_options& options, const std::function<void()>& run);

} // namespace medlaryoke::commands
