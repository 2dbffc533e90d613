#include "Soak/soak_report.h"

#include <cstdio>
#include <filesystem>

#include <fmt/format.h>

namespace medlaryoke::soak {

bool print_report(const soak_report& report)
{
    fmt::print("{}, {} violations\n", report.totals, report.violations.size());
    if (report.violations.empty()) {
        std::filesystem::remove_all(report.directory);
    }
    else {
        for (const auto& it : report.violations) {
            fmt::print("  {}\n", it);
        }
        for (const auto& it : report.faults) {
            fmt::print("  fault at {}\n", it);
        }
        fmt::print("  logs: {}\n  again: {}\n", report.directory, report.command);
    }
    std::fflush(stdout);
    return report.violations.empty();
}

} // namespace medlaryoke::soak
