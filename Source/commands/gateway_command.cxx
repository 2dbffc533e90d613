#include "commands/gateway_command.h"

#include <memory>

#include <CLI/App.hpp>

#include "commands/logged_run.h"
#include "commands/startup_settings.h"
#include "gateway/gateway_process.h"
#include "platform/platform_deployment.h"

namespace medlaryoke::commands {

void gateway_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("gateway", "Serve callers of the platform");
    const auto metrics_port = std::make_shared<unsigned>(0);
    command->add_option("--metrics-port", *metrics_port, "Serve metrics on this port; 0: nowhere");
    command->callback([metrics_port] {
        const auto settings = load_startup_settings(*metrics_port);
        event_log_options log;
        log.instance = settings.gateway.instance;
        run_with_event_log(log, [&settings, &metrics_port] {
            gateway::gateway_process(settings.gateway,
                                     platform::make_deployment(settings, *metrics_port))
                .run();
        });
    });
}

} // namespace medlaryoke::commands
