#pragma once

#include <string>
#include <vector>

namespace medlaryoke::soak {

/// What is printed of one run of a soak test.
struct soak_report {
    std::string totals; ///< one line, with the seed
    std::vector<std::string> violations;
    std::vector<std::string> faults;
    std::string directory; ///< of the settings and logs
    std::string command;   ///< plays the run again
};

/// Prints the totals of a run. If it has violations, prints these too with its faults and the
/// command, and keeps its directory; else removes the directory.
/// @return whether there were no violations
bool print_report(const soak_report& report);

} // namespace medlaryoke::soak
