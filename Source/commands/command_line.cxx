#include "commands/command_line.h"

#include <CLI/CLI.hpp>

namespace medlaryoke::commands {

namespace {

constexpr int usage_exit_code = 2;

} // namespace

int run_command_line(int argc, char** argv)
{
    CLI::App app{"Load balancer for expert-parallel model groups", "medlaryoke"};
    app.set_version_flag("--version", "0.1.0");
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : usage_exit_code;
    }
    return 0;
}

} // namespace medlaryoke::commands
