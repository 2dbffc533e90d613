// Fault soak: plays seeds and prints one line for each, with the violated promises of those that
// failed. Settings and logs of a failed seed stay in the directory that is printed.

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

/// @return whether all promises were kept
bool play(unsigned seed, unsigned seconds)
{
    const auto directory = fakes::make_temporary_directory();
    soak::soak_run run(seed, directory);
    run.play(std::chrono::seconds(seconds));
    const auto violations = run.ledger().violations();
    fmt::print("seed {} seconds {}: {} calls, {} answered, {} faults, {} violations\n", seed,
               seconds, run.ledger().calls(), run.ledger().answered(), run.faults().size(),
               violations.size());
    if (violations.empty()) {
        std::filesystem::remove_all(directory);
        return true;
    }
    for (const auto& it : violations) {
        fmt::print("  {}\n", it);
    }
    for (const auto& it : run.faults()) {
        fmt::print("  fault at {}\n", it);
    }
    fmt::print("  logs: {}\n  again: test_soak --seeds {} --seconds {}\n", directory, seed,
               seconds);
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Plays random faults against gateways and checks what they promise.");
    std::vector<unsigned> seeds;
    unsigned seconds = 6;
    app.add_option("--seeds", seeds, "seeds of the schedules")->required();
    app.add_option("--seconds", seconds, "how long faults begin, for each seed");
    CLI11_PARSE(app, argc, argv);
    bool all_kept = true;
    for (const auto seed : seeds) {
        all_kept = play(seed, seconds) && all_kept;
        std::fflush(stdout);
    }
    return all_kept ? 0 : 1;
}
