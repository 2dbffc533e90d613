// Soak test under random faults: runs each seed and prints one line of totals for it. For a failed
// seed it also prints the violations, the injected faults and the directory in which the settings
// and logs are kept.

#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "fakes/product_program.h"
#include "Soak/soak_run.h"

using namespace medlaryoke;

namespace {

/// Runs the faults of one seed.
/// @return whether there were no violations
bool run_seed(unsigned seed, unsigned seconds)
{
    const auto directory = fakes::make_temporary_directory();
    soak::soak_run test(seed, directory);
    test.run(std::chrono::seconds(seconds));
    const auto violations = test.results().violations();
    fmt::print("seed {} seconds {}: {} calls, {} answered, {} faults, {} violations\n", seed,
               seconds, test.results().calls(), test.results().answered(), test.faults().size(),
               violations.size());
    if (violations.empty()) {
        std::filesystem::remove_all(directory);
        return true;
    }
    for (const auto& it : violations) {
        fmt::print("  {}\n", it);
    }
    for (const auto& it : test.faults()) {
        fmt::print("  fault at {}\n", it);
    }
    fmt::print("  logs: {}\n  again: test_soak --seeds {} --seconds {}\n", directory, seed,
               seconds);
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Injects random faults into a group of gateways and checks their guarantees.");
    std::vector<unsigned> seeds;
    unsigned seconds = 6;
    app.add_option("--seeds", seeds, "seeds of the fault schedules")->required();
    app.add_option("--seconds", seconds, "time during which new faults start, for each seed");
    CLI11_PARSE(app, argc, argv);
    bool all_passed = true;
    for (const auto seed : seeds) {
        all_passed = run_seed(seed, seconds) && all_passed;
        std::fflush(stdout);
    }
    return all_passed ? 0 : 1;
}
