#include "commands/apply_command.h"

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <thread>
#include <utility>

#include <CLI/App.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "base/duration_text.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "base/yaml_reader.h"
#include "commands/operator_client.h"
#include "model/resource_text.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;

/// Interval at which `--wait-in-force` polls the confirmed offset.
constexpr duration poll_interval = std::chrono::milliseconds(200);

/// A resource as stored by the entry; the specification is JSON text.
struct current_resource {
    std::uint64_t version = 0;
    std::string spec;
};

/// Current resources by kind and name.
using current_map = std::map<std::pair<std::string, std::string>, current_resource>;

current_map read_current(operator_client& client)
{
    current_map current;
    const auto body = json::parse(client.fetch({"GET", "/v1/resources", {}, {}}));
    for (const auto& it : body.at("resources")) {
        current[{it.at("kind").get<std::string>(), it.at("name").get<std::string>()}] = {
            it.at("version").get<std::uint64_t>(), it.at("spec").dump()};
    }
    return current;
}

/// Compares parsed specifications, not their texts.
bool is_unchanged(const model::resource& desired, const current_resource& current)
{
    return model::parse_spec(model::kind_of(desired.spec), current.spec, "entry",
                             unknown_keys::ignore) == desired.spec;
}

/// @return the items of a change: all desired resources that differ from the current ones
json make_change_items(const std::vector<model::declared_resource>& desired,
                       const current_map& current)
{
    json items = json::array();
    for (const auto& it : desired) {
        const std::string kind(model::kind_of(it.value.spec));
        const auto found = current.find({kind, it.value.name});
        if (found != current.end() && is_unchanged(it.value, found->second)) {
            continue;
        }
        items.push_back({{"kind", kind},
                         {"name", it.value.name},
                         {"expected_version", found == current.end() ? 0 : found->second.version},
                         {"spec", json::parse(model::spec_to_json(it.value.spec))}});
    }
    return items;
}

/// Writes progress to standard error: rewrites one line on a terminal, otherwise writes at most one
/// new line per second.
class progress_line {
public:
    void show(const std::string& text)
    {
        const auto now = std::chrono::steady_clock::now();
        if (this->is_terminal_) {
            std::cerr << '\r' << text << "\033[K" << std::flush;
        }
        else if (now - this->last_written_ >= std::chrono::seconds(1)) {
            this->last_written_ = now;
            std::cerr << text << '\n';
        }
    }

    void finish() const
    {
        if (this->is_terminal_) {
            std::cerr << '\n';
        }
    }

private:
    bool is_terminal_ = isatty(STDERR_FILENO) == 1;
    std::chrono::steady_clock::time_point last_written_;
};

/// Polls the entry until all live instances have confirmed a version of the configuration.
void wait_until_in_force(operator_client& client, std::uint64_t version, duration timeout)
{
    const auto start = std::chrono::steady_clock::now();
    progress_line progress;
    while (true) {
        const auto body = json::parse(client.fetch({"GET", "/v1/config", {}, {}}));
        const auto confirmed = body.at("confirmed_offset").get<std::uint64_t>();
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
        progress.show(fmt::format("waiting for version {}: in force everywhere up to {} ({} ms)",
                                  version, confirmed, waited.count()));
        if (confirmed >= version) {
            progress.finish();
            std::cout << fmt::format("version {} is in force after {} ms\n", version,
                                     waited.count());
            return;
        }
        if (waited >= timeout) {
            progress.finish();
            throw error(error_kind::deadline_exceeded,
                        fmt::format("version {} is accepted but not in force everywhere after {}",
                                    version, format_duration(timeout)),
                        "Use medlaryoke status to see which instance lags behind.");
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

void apply_command::add_to(CLI::App& app)
{
    auto* command =
        app.add_subcommand("apply", "Send the resources of a file to an entry as one change");
    const auto options = std::make_shared<apply_options>();
    const auto timeout = std::make_shared<std::string>(format_duration(options->timeout));
    command->add_option("--entry", options->entry, "Operator address of an entry")
        ->required()
        ->type_name("IP:PORT");
    command->add_option("file", options->file, "YAML file with resources")
        ->required()
        ->type_name("FILE");
    command->add_option("--author", options->author, "Who makes the change; default: $USER");
    command->add_flag("--wait-in-force", options->wait_in_force,
                      "Wait until all live instances have confirmed the change");
    command->add_option("--timeout", *timeout, "Longest wait")
        ->type_name("DURATION")
        ->capture_default_str();
    command->footer("Exit codes: 0 accepted (with --wait-in-force: in force), 1 refused, in "
                    "conflict, unknown, or not in force in time, 2 wrong command line.");
    command->callback([options, timeout] {
        options->timeout = parse_duration(*timeout);
        apply_command::run(*options);
    });
}

void apply_command::run(const apply_options& options)
{
    const auto desired = model::parse_resources(read_text_file(options.file), options.file);
    operator_client client(options.entry);
    try {
        const auto items = make_change_items(desired, read_current(client));
        if (items.empty()) {
            std::cout << fmt::format("{} resources are already as wanted\n", desired.size());
            return;
        }
        const char* user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): one thread
        const json change{{"author", !options.author.empty() ? options.author
                                     : user != nullptr       ? std::string(user)
                                                             : std::string("unknown")},
                          {"operation_id", make_unique_id("op")},
                          {"items", items}};
        const auto reply = json::parse(client.fetch({"POST", "/v1/changes", {}, change.dump()}));
        const auto version = reply.at("version").get<std::uint64_t>();
        std::cout << fmt::format("version {} accepted: {} of {} resources changed\n", version,
                                 items.size(), desired.size());
        if (options.wait_in_force) {
            wait_until_in_force(client, version, options.timeout);
        }
    }
    catch (const json::exception& e) {
        throw error(error_kind::internal,
                    fmt::format("{} answered with malformed JSON: {}", options.entry, e.what()),
                    "Check that the address is the operator listener of an entry.");
    }
}

} // namespace medlaryoke::commands
