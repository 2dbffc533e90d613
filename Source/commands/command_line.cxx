#include "commands/command_line.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "commands/agent_command.h"
#include "commands/apply_command.h"
#include "commands/check_command.h"
#include "commands/check_config_command.h"
#include "commands/entry_command.h"
#include "commands/error_line.h"
#include "commands/gateway_command.h"
#include "commands/get_command.h"
#include "commands/rank_agent_command.h"
#include "commands/report_command.h"
#include "commands/status_command.h"
#include "commands/watch_command.h"

namespace medlaryoke::commands {

namespace {

constexpr int failure_exit_code = 1;
constexpr int usage_exit_code = 2;

} // namespace

int run_command_line(int argc, char** argv)
{
    CLI::App app{"Load balancer for expert-parallel model groups", "medlaryoke"};
    app.set_version_flag("--version", "0.1.0");
    app.require_subcommand(0, 1);
    agent_command::add_to(app);
    apply_command::add_to(app);
    check_command::add_to(app);
    check_config_command::add_to(app);
    entry_command::add_to(app);
    gateway_command::add_to(app);
    get_command::add_to(app);
    rank_agent_command::add_to(app);
    report_command::add_to(app);
    status_command::add_to(app);
    watch_command::add_to(app);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : usage_exit_code;
    }
    catch (const error& e) {
        write_error_line(fmt::format("{}. {}", e.what(), e.remedy()));
        return failure_exit_code;
    }
    catch (const std::exception& e) {
        write_error_line(e.what());
        return failure_exit_code;
    }
    return 0;
}

} // namespace medlaryoke::commands
