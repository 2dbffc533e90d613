// Soak test of rate limits that upstreams name: runs each seed and prints one line of totals for
// it. For a failed seed it also prints the violations, the injected faults and the directory of the
// logs.

#include <chrono>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "fakes/product_program.h"
#include "Soak/limit_soak_run.h"
#include "Soak/soak_report.h"

using namespace medlaryoke;

namespace {

/// Runs one seed.
/// @return whether there were no violations
bool run_seed(const soak::limit_soak_options& options)
{
    const auto directory = fakes::make_temporary_directory();
    soak::limit_soak_run test(options, directory);
    test.run();
    return soak::print_report(
        {fmt::format("seed {}: {}", options.seed, test.totals()), test.violations(), test.faults(),
         directory,
         fmt::format("test_limit_soak --seeds {} --gateways {} --upstreams {} --seconds {}{}",
                     options.seed, options.gateways, options.upstreams, options.length.count(),
                     options.restores_store ? " --restores" : "")});
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Sends requests to upstreams that name rate limits, under faults.");
    std::vector<unsigned> seeds;
    soak::limit_soak_options options;
    unsigned seconds = 16;
    app.add_option("--seeds", seeds, "seeds of the faults and the requests")->required();
    app.add_option("--gateways", options.gateways, "gateway processes");
    app.add_option("--upstreams", options.upstreams, "upstreams");
    app.add_flag("--restores", options.restores_store, "restore the store from older copies, too");
    app.add_option("--seconds", seconds, "length of each seed; at least 10");
    CLI11_PARSE(app, argc, argv);
    options.length = std::chrono::seconds(seconds);
    bool all_passed = true;
    for (const auto seed : seeds) {
        options.seed = seed;
        all_passed = run_seed(options) && all_passed;
    }
    return all_passed ? 0 : 1;
}
