#pragma once

namespace medlaryoke::commands {

/// Ends the log of a process that is about to exit. If its output is blocked, the process ends here
/// with success: the thread that writes would keep it for ever.
void end_logging();

} // namespace medlaryoke::commands
