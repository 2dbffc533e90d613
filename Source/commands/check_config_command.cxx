#include "commands/check_config_command.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <memory>

#include <CLI/App.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/yaml_reader.h"
#include "platform/configuration_record.h"
#include "policy/config_review.h"

namespace medlaryoke::commands {

void check_config_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "check-config", "Check a configuration of the platform before it is sent: errors, entries "
                        "that can never match, limits that contradict each other, differences");
    const auto file = std::make_shared<std::string>();
    const auto in_force = std::make_shared<std::string>();
    command->add_option("file", *file, "the configuration, a JSON record as it is stored")
        ->required()
        ->type_name("FILE");
    command->add_option("--in-force", *in_force, "the configuration in force, to compare with")
        ->type_name("FILE");
    command->footer("Exit codes: 0 no errors, 1 errors or an unreadable file, "
                    "2 wrong command line.");
    command->callback([file, in_force] { check_config_command::run(*file, *in_force); });
}

void check_config_command::run(const std::string& file, const std::string& in_force)
{
    const auto next = platform::decode_configuration(read_text_file(file));
    auto findings = policy::review_config(next);
    if (!in_force.empty()) {
        auto differences =
            policy::compare_configs(platform::decode_configuration(read_text_file(in_force)), next);
        std::ranges::move(differences, std::back_inserter(findings));
    }
    for (const auto& it : findings) {
        std::cout << fmt::format("{}: {}: {}{}{}\n", policy::to_string(it.kind), it.subject,
                                 it.message, it.remedy.empty() ? "" : ". ", it.remedy);
    }
    const auto errors =
        std::ranges::count(findings, policy::finding_kind::error, &policy::config_finding::kind);
    if (errors > 0) {
        throw error(error_kind::invalid_argument,
                    fmt::format("the configuration has {} errors", errors),
                    "Correct the lines named above before it is sent.");
    }
    std::cout << fmt::format("{}: version {} has no errors\n", file, next.version);
}

} // namespace medlaryoke::commands
