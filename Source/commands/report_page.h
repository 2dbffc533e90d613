#pragma once

#include <string>
#include <vector>

#include "policy/burn_rate.h"

namespace medlaryoke::commands {

/// @param burn burn rates computed from the samples
/// @param windows lengths of the short and the long window
/// @param notices notes shown above the tables
/// @return a self-contained HTML page with the tables, and plots as inline SVG
std::string make_report_page(const policy::burn_rate& burn, const policy::burn_windows& windows,
                             const std::vector<std::string>& notices);

} // namespace medlaryoke::commands
