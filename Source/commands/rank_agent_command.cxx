#include "commands/rank_agent_command.h"

#include <CLI/App.hpp>

#include "base/error.h"
#include "base/event_log.h"
#include "commands/end_logging.h"
#include "experts/rank_agent.h"
#include "platform/lockstep_http_engine.h"
#include "platform/node_settings.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

namespace {

void run_agent()
{
    const auto settings = platform::load_node_settings(0);
    if (settings.engine_address.empty()) {
        throw error(error_kind::invalid_argument, "the settings name no engine beside this process",
                    "Run rank-agent on the machine of an engine.");
    }
    event_log_options log;
    log.instance = settings.gateway.instance;
    configure_event_log(log);
    transport::runtime context(1);
    platform::lockstep_http_engine engine(context, settings.engine_address);
    const experts::rank_agent agent(context, settings.agent_address, engine);
    // Nothing in the settings of an agent changes while its machine runs.
    context.on_reload_signal([] {});
    context.on_termination_signal([&context] { context.stop(); });
    context.start();
    context.wait();
    end_logging();
}

} // namespace

void rank_agent_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("rank-agent", "Stand beside an engine of the platform");
    command->callback(run_agent);
}

} // namespace medlaryoke::commands
