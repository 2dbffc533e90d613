#include "commands/entry_command.h"

#include <memory>
#include <string>

#include <CLI/App.hpp>

#include "base/logging.h"
#include "commands/entry_process.h"

namespace medlaryoke::commands {

void entry_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("entry", "Serve callers and operators");
    const auto path = std::make_shared<std::string>();
    command->add_option("--settings", *path, "YAML file with the settings of the entry")
        ->required()
        ->type_name("FILE");
    command->callback([path] { entry_command::run(model::load_entry_settings(*path)); });
}

int entry_command::run(const model::entry_settings& settings)
{
    configure_logging(settings.instance.log_output, settings.instance.log_detail,
                      settings.instance.instance);
    entry_process(settings).run();
    return 0;
}

} // namespace medlaryoke::commands
