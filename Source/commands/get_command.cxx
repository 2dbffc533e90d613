#include "commands/get_command.h"

#include <iostream>
#include <memory>

#include <CLI/App.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "commands/operator_client.h"
#include "model/resource_text.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;

constexpr int json_indent = 2;

void write_yaml(const json& it)
{
    const auto kind = it.at("kind").get<std::string>();
    const model::resource value{
        it.at("name").get<std::string>(),
        model::parse_spec(kind, it.at("spec").dump(), "entry", unknown_keys::ignore)};
    std::cout << fmt::format("# version {} by {}\n{}", it.at("version").get<std::uint64_t>(),
                             it.at("author").get<std::string>(), model::resource_to_yaml(value));
}

} // namespace

void get_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("get", "Show resources");
    const auto options = std::make_shared<get_options>();
    command->add_option("--entry", options->entry, "Operator address of an entry")
        ->required()
        ->type_name("IP:PORT");
    command->add_option("kind", options->kind, "Kind of resource")
        ->required()
        ->check(CLI::IsMember(model::resource_kinds()));
    command->add_option("name", options->name, "Name; all resources of the kind if left out");
    command->add_flag("--json", options->json, "Write JSON instead of YAML");
    command->footer("Exit codes: 0 shown, 1 not found or no answer, 2 wrong command line.");
    command->callback([options] { get_command::run(*options); });
}

void get_command::run(const get_options& options)
{
    if (!options.name.empty()) {
        model::check_resource_name(options.name);
    }
    operator_client client(options.entry);
    const auto path = options.name.empty()
                          ? fmt::format("/v1/resources/{}", options.kind)
                          : fmt::format("/v1/resources/{}/{}", options.kind, options.name);
    const auto text = client.fetch({"GET", path, {}, {}});
    try {
        const auto body = json::parse(text);
        if (options.json) {
            std::cout << body.dump(json_indent) << '\n';
        }
        else if (!options.name.empty()) {
            write_yaml(body);
        }
        else {
            bool first = true;
            for (const auto& it : body.at("resources")) {
                std::cout << (first ? "" : "---\n");
                first = false;
                write_yaml(it);
            }
        }
    }
    catch (const json::exception& e) {
        throw error(error_kind::internal,
                    fmt::format("{} answered with malformed JSON: {}", options.entry, e.what()),
                    "Check that the address is the operator listener of an entry.");
    }
}

} // namespace medlaryoke::commands
