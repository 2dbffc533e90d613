#pragma once

#include <string>

#include "policy/burn_rate.h"

namespace medlaryoke::commands {

/// @param burn the samples
/// @param windows lengths of the windows
/// @return a self-contained HTML page with the tables, and plots as inline SVG
std::string make_report_page(const policy::burn_rate& burn, const policy::burn_windows& windows);

} // namespace medlaryoke::commands
