#include "commands/agent_command.h"

#include <memory>
#include <string>

#include <CLI/App.hpp>

#include "base/logging.h"
#include "commands/agent_process.h"

namespace medlaryoke::commands {

void agent_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("agent", "Serve one upstream");
    const auto path = std::make_shared<std::string>();
    command->add_option("--settings", *path, "YAML file with the settings of the agent")
        ->required()
        ->type_name("FILE");
    command->callback([path] { agent_command::run(model::load_agent_settings(*path)); });
}

void agent_command::run(const model::agent_settings& settings)
{
    configure_logging(settings.instance.log_output, settings.instance.log_detail,
                      settings.instance.instance);
    agent_process(settings).run();
}

} // namespace medlaryoke::commands
