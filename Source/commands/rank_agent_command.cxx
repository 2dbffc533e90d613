#include "commands/rank_agent_command.h"

#include <CLI/App.hpp>

#include "base/error.h"
#include "commands/logged_run.h"
#include "commands/startup_settings.h"
#include "experts/rank_agent.h"
#include "platform/lockstep_http_engine.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

namespace {

void serve(const platform::node_settings& settings)
{
    if (settings.engine_address.empty()) {
        throw error(error_kind::invalid_argument,
                    "the settings contain no address of an engine on this machine",
                    "Run rank-agent on the machine of an engine.");
    }
    transport::runtime runtime(1);
    platform::lockstep_http_engine engine(runtime, settings.engine_address);
    const experts::rank_agent agent(runtime, settings.agent_address, engine,
                                    settings.gateway.limits);
    // The settings of a rank agent cannot change while its machine runs, so a reload has no effect.
    runtime.on_reload_signal([] {});
    runtime.on_termination_signal([&runtime] { runtime.stop(); });
    runtime.start();
    runtime.wait();
}

void run_rank_agent()
{
    const auto settings = load_startup_settings(0);
    event_log_options log;
    log.instance = settings.gateway.instance;
    run_with_event_log(log, [&settings] { serve(settings); });
}

} // namespace

void rank_agent_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("rank-agent", "Stand beside an engine of the platform");
    command->callback(run_rank_agent);
}

} // namespace medlaryoke::commands
