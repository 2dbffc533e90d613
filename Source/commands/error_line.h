#pragma once

#include <string_view>

namespace medlaryoke::commands {

/// Writes a line to standard error, after the name of the program. The line is lost if a reader
/// that does not read keeps it from being written at once.
/// @param text the line without its end
void write_error_line(std::string_view text);

} // namespace medlaryoke::commands
