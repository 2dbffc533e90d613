#include "commands/report_command.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>

#include <CLI/App.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "commands/operator_client.h"
#include "commands/report_page.h"
#include "commands/sample_file.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;
using policy::burn_row;
using policy::burn_view;
using policy::service_counter;

constexpr int indent = 2;
constexpr duration reply_timeout = std::chrono::seconds(5);
constexpr double percent = 100;
constexpr policy::burn_windows windows{};
constexpr std::array views{std::pair{burn_view::priority, "priority"},
                           std::pair{burn_view::organisation, "organisation"},
                           std::pair{burn_view::target, "model group"}};

/// What was collected, and the entries that did not answer.
struct collection {
    sample_set samples;
    std::vector<error> missing;
};

void ask_entry(collection& result, const std::string& address)
{
    operator_client client(address, reply_timeout);
    try {
        const auto targets = client.fetch({"GET", "/v1/resources/priority", {}, {}});
        const auto samples = client.fetch({"GET", "/v1/samples", {}, {}});
        result.samples.merge(
            {parse_attainments(targets, address), {parse_samples(samples, address)}});
    }
    catch (const error& e) {
        if (e.kind() != error_kind::unavailable) {
            throw;
        }
        result.missing.push_back(e);
    }
}

collection collect(const report_options& options)
{
    collection result;
    for (const auto& it : options.samples) {
        result.samples.merge(read_sample_file(it));
    }
    std::error_code ec;
    const auto kind = options.save.empty() ? std::filesystem::file_type::not_found
                                           : std::filesystem::status(options.save, ec).type();
    if (kind != std::filesystem::file_type::not_found) {
        result.samples.merge(read_sample_file(options.save));
    }
    for (const auto& it : options.entries) {
        ask_entry(result, it);
    }
    if (!result.missing.empty() && result.samples.snapshots.empty()) {
        throw result.missing.front();
    }
    return result;
}

/// @return what a reader must know to trust the figures
std::vector<std::string> make_notices(const policy::burn_rate& burn)
{
    std::vector<std::string> result;
    for (const auto& it : burn.gaps_longer_than(windows.short_window)) {
        const auto length = std::chrono::duration_cast<std::chrono::seconds>(it.to - it.from);
        result.push_back(fmt::format("{}: no sample for {} s; requests are spread over that time",
                                     it.instance, length.count()));
    }
    for (const auto& it : burn.table(burn_view::priority, windows)) {
        if (it.period.sums.total() > 0 && !it.target()) {
            result.push_back(fmt::format("priority {}: no target is known", it.name));
        }
    }
    return result;
}

std::string percentage(std::optional<double> value)
{
    return value ? fmt::format("{:.2f}%", *value * percent) : "-";
}

std::string rate_text(std::optional<double> value)
{
    return value ? fmt::format("{:.2f}", *value) : "-";
}

void write_text(const policy::burn_rate& burn, const std::vector<std::string>& notices)
{
    std::cout << fmt::format(
        "{} snapshots over {} s, {} restarts, {} resets\n", burn.snapshots(),
        std::chrono::duration_cast<std::chrono::seconds>(burn.last() - burn.first()).count(),
        burn.restarts(), burn.resets());
    for (const auto& it : notices) {
        std::cout << "note: " << it << '\n';
    }
    constexpr const char* line = "{:<20} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9} "
                                 "{:>9}\n";
    for (const auto& [view, title] : views) {
        std::cout << '\n'
                  << fmt::format(line, title, "requests", "target", "attained", "left", "burn 5m",
                                 "burn 1h", "queueing", "upstream", "refusal", "unknown");
        for (const auto& it : burn.table(view, windows)) {
            const auto& sums = it.period.sums;
            const auto count = [&sums](service_counter cause) {
                return fmt::format("{:.0f}", sums[cause]);
            };
            std::cout << fmt::format(
                line, it.name, fmt::format("{:.0f}", sums.total()), percentage(it.target()),
                percentage(it.attained()), percentage(it.budget_left()),
                rate_text(it.short_window.rate()), rate_text(it.long_window.rate()),
                count(service_counter::queueing), count(service_counter::upstream),
                count(service_counter::refusal), count(service_counter::unknown));
        }
    }
}

json number(std::optional<double> value)
{
    return value ? json(*value) : json();
}

json describe(const burn_row& row)
{
    const auto& sums = row.period.sums;
    return {{"name", row.name},
            {"requests", sums.total()},
            {"target", number(row.target())},
            {"attained", number(row.attained())},
            {"budget_left", number(row.budget_left())},
            {"burn_rate",
             {{"short_window", number(row.short_window.rate())},
              {"long_window", number(row.long_window.rate())}}},
            {"missed",
             {{"queueing", sums[service_counter::queueing]},
              {"upstream", sums[service_counter::upstream]},
              {"refusal", sums[service_counter::refusal]},
              {"unknown", sums[service_counter::unknown]}}},
            {"cancelled", sums[service_counter::cancelled]}};
}

void write_json(const policy::burn_rate& burn, const std::vector<std::string>& notices)
{
    json body{{"first_unix_ms", burn.first().time_since_epoch().count()},
              {"last_unix_ms", burn.last().time_since_epoch().count()},
              {"snapshots", burn.snapshots()},
              {"notes", notices},
              {"restarts", burn.restarts()},
              {"resets", burn.resets()}};
    for (const auto& [view, title] : views) {
        auto& rows = body[view == burn_view::target ? "model_group" : title] = json::array();
        for (const auto& it : burn.table(view, windows)) {
            rows.push_back(describe(it));
        }
    }
    std::cout << body.dump(indent, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace

void report_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("report", "Show the use of the service-level budgets");
    const auto options = std::make_shared<report_options>();
    command->add_option("--entry", options->entries, "Operator addresses of the entries")
        ->type_name("IP:PORT");
    command->add_option("--samples", options->samples, "Sample files to read")->type_name("FILE");
    command->add_option("--save", options->save, "Sample file that the samples are added to")
        ->type_name("FILE");
    command->add_option("--format", options->format, "text, json or html")
        ->check(CLI::IsMember({"text", "json", "html"}));
    command->footer("Exit codes: 0 shown, 1 a file or an entry cannot be read, 2 wrong command "
                    "line.");
    command->callback([options] { report_command::run(*options); });
}

void report_command::run(const report_options& options)
{
    if (options.entries.empty() && options.samples.empty()) {
        throw error(error_kind::invalid_argument, "report: neither --entry nor --samples is given",
                    "Name an entry or a sample file.");
    }
    auto [samples, missing] = collect(options);
    if (!options.save.empty()) {
        write_sample_file(options.save, samples);
    }
    const policy::burn_rate burn(std::move(samples.snapshots), std::move(samples.attainments));
    auto notices = make_notices(burn);
    std::ranges::transform(missing, std::back_inserter(notices),
                           [](const error& it) { return std::string(it.what()); });
    if (options.format == "json") {
        write_json(burn, notices);
    }
    else if (options.format == "html") {
        std::cout << make_report_page(burn, windows, notices);
    }
    else {
        write_text(burn, notices);
    }
    if (!missing.empty()) {
        throw error(
            error_kind::unavailable,
            fmt::format("{} of {} entries did not answer", missing.size(), options.entries.size()),
            missing.front().remedy());
    }
}

} // namespace medlaryoke::commands
