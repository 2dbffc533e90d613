#pragma once

namespace medlaryoke::commands {

/// Writes the remaining log lines of a process that is about to exit. If the output is blocked,
/// exits the process with success at once, because the writing thread would prevent a normal exit.
void end_logging();

} // namespace medlaryoke::commands
