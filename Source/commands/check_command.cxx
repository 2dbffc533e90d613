#include "commands/check_command.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <memory>

#include <CLI/App.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/yaml_reader.h"
#include "model/process_settings.h"
#include "model/resource_check.h"
#include "model/resource_text.h"
#include "platform/node_settings.h"

namespace medlaryoke::commands {

namespace {

/// @return whether the first document of a file has the given top-level key
bool has_key(const std::vector<document_node>& documents, std::string_view key)
{
    return !documents.empty() &&
           std::ranges::find(documents.front().members, key, &document_member::key) !=
               documents.front().members.end();
}

/// Rejects text with control characters. The YAML reader would take a binary file for an empty
/// document.
void check_is_text(const std::string& text, const std::string& path)
{
    const auto is_control = [](char c) {
        return static_cast<unsigned char>(c) < ' ' && c != '\t' && c != '\n' && c != '\r';
    };
    if (std::ranges::any_of(text, is_control)) {
        throw error(error_kind::invalid_argument, fmt::format("{} is not a text file", path),
                    "Name a YAML file, or the JSON settings file of a platform.");
    }
}

/// Detects the type of a file by its content and checks it. Appends resources to `resources`, as
/// they are checked together later.
void check_file(const std::string& path, std::vector<model::declared_resource>& resources)
{
    const auto text = read_text_file(path);
    check_is_text(text, path);
    if (platform::is_node_settings(text)) {
        platform::decode_node_settings(text, 0);
        std::cout << fmt::format("{}: settings of the platform are valid\n", path);
        return;
    }
    const auto documents = read_yaml(text, path);
    if (has_key(documents, "agent")) {
        model::parse_agent_settings(text, path);
        std::cout << fmt::format("{}: settings of an agent are valid\n", path);
    }
    else if (has_key(documents, "entry") || has_key(documents, "instance")) {
        model::parse_entry_settings(text, path);
        std::cout << fmt::format("{}: settings of an entry are valid\n", path);
    }
    else {
        auto found = model::parse_resources(text, path);
        if (found.empty()) {
            throw error(error_kind::invalid_argument,
                        fmt::format("{} contains neither settings nor resources", path),
                        "Name a file with at least one document.");
        }
        std::cout << fmt::format("{}: {} resources are well formed\n", path, found.size());
        std::ranges::move(found, std::back_inserter(resources));
    }
}

} // namespace

void check_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "check", "Check settings and resources; resources of all files form one configuration");
    const auto files = std::make_shared<std::vector<std::string>>();
    command->add_option("files", *files, "YAML files, or settings files of the platform")
        ->required()
        ->type_name("FILE");
    command->footer("Exit codes: 0 all files are valid, 1 a file is not valid, "
                    "2 wrong command line.");
    command->callback([files] { check_command::run(*files); });
}

void check_command::run(const std::vector<std::string>& files)
{
    std::vector<model::declared_resource> resources;
    for (const auto& path : files) {
        check_file(path, resources);
    }
    std::vector<const model::resource*> values;
    std::ranges::transform(resources, std::back_inserter(values),
                           [](const auto& it) { return &it.value; });
    const auto problems = model::check_resources(values);
    for (const auto& it : problems) {
        std::cerr << fmt::format("{}: {}. {}\n", resources[it.index].place, it.message, it.remedy);
    }
    if (!problems.empty()) {
        throw error(error_kind::invalid_argument,
                    fmt::format("the configuration has {} problems", problems.size()),
                    "Correct the lines named above.");
    }
}

} // namespace medlaryoke::commands
