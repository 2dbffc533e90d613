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

constexpr int json_indent = 2;
/// Longest wait for one reply of an entry.
constexpr duration reply_timeout = std::chrono::seconds(5);
constexpr double percent_per_unit = 100;
constexpr policy::burn_windows windows{};
/// Views of the report and their titles.
constexpr std::array view_titles{std::pair{burn_view::priority, "priority"},
                                 std::pair{burn_view::organisation, "organisation"},
                                 std::pair{burn_view::target, "model group"}};

/// The collected samples, and one error for each entry that did not reply.
struct collected_samples {
    sample_set samples;
    std::vector<error> unreachable;
};

void fetch_samples(collected_samples& result, const std::string& address)
{
    operator_client client(address, reply_timeout);
    try {
        const auto priorities = client.fetch({"GET", "/v1/resources/priority", {}, {}});
        const auto samples = client.fetch({"GET", "/v1/samples", {}, {}});
        result.samples.merge(
            {parse_attainments(priorities, address), {parse_samples(samples, address)}});
    }
    catch (const error& e) {
        if (e.kind() != error_kind::unavailable) {
            throw;
        }
        result.unreachable.push_back(e);
    }
}

collected_samples collect_samples(const report_options& options)
{
    collected_samples result;
    for (const auto& it : options.sample_paths) {
        result.samples.merge(read_sample_file(it));
    }
    std::error_code ec;
    const auto file_type = options.save_path.empty()
                               ? std::filesystem::file_type::not_found
                               : std::filesystem::status(options.save_path, ec).type();
    if (file_type != std::filesystem::file_type::not_found) {
        result.samples.merge(read_sample_file(options.save_path));
    }
    for (const auto& it : options.entries) {
        fetch_samples(result, it);
    }
    if (!result.unreachable.empty() && result.samples.snapshots.empty()) {
        throw result.unreachable.front();
    }
    return result;
}

/// @return notes on missing samples and targets that make the figures of the report less reliable
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

std::string format_percentage(std::optional<double> value)
{
    return value ? fmt::format("{:.2f}%", *value * percent_per_unit) : "-";
}

std::string format_rate(std::optional<double> value)
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
    constexpr const char* row_format =
        "{:<20} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9} {:>9} "
        "{:>9}\n";
    for (const auto& [view, title] : view_titles) {
        std::cout << '\n'
                  << fmt::format(row_format, title, "requests", "target", "attained", "left",
                                 "burn 5m", "burn 1h", "queueing", "upstream", "refusal",
                                 "unknown");
        for (const auto& it : burn.table(view, windows)) {
            const auto& sums = it.period.sums;
            const auto count = [&sums](service_counter cause) {
                return fmt::format("{:.0f}", sums[cause]);
            };
            std::cout << fmt::format(
                row_format, it.name, fmt::format("{:.0f}", sums.total()),
                format_percentage(it.target()), format_percentage(it.attained()),
                format_percentage(it.budget_left()), format_rate(it.short_window.rate()),
                format_rate(it.long_window.rate()), count(service_counter::queueing),
                count(service_counter::upstream), count(service_counter::refusal),
                count(service_counter::unknown));
        }
    }
}

json to_json(std::optional<double> value)
{
    return value ? json(*value) : json();
}

json row_to_json(const burn_row& row)
{
    const auto& sums = row.period.sums;
    return {{"name", row.name},
            {"requests", sums.total()},
            {"target", to_json(row.target())},
            {"attained", to_json(row.attained())},
            {"budget_left", to_json(row.budget_left())},
            {"burn_rate",
             {{"short_window", to_json(row.short_window.rate())},
              {"long_window", to_json(row.long_window.rate())}}},
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
    for (const auto& [view, title] : view_titles) {
        auto& rows = body[view == burn_view::target ? "model_group" : title] = json::array();
        for (const auto& it : burn.table(view, windows)) {
            rows.push_back(row_to_json(it));
        }
    }
    std::cout << body.dump(json_indent, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace

void report_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("report", "Show the use of the service-level budgets");
    const auto options = std::make_shared<report_options>();
    command->add_option("--entry", options->entries, "Operator addresses of the entries")
        ->type_name("IP:PORT");
    command->add_option("--samples", options->sample_paths, "Sample files to read")
        ->type_name("FILE");
    command->add_option("--save", options->save_path, "Sample file that the samples are added to")
        ->type_name("FILE");
    command->add_option("--format", options->format, "text, json or html")
        ->check(CLI::IsMember({"text", "json", "html"}));
    command->footer("Exit codes: 0 shown, 1 a file or an entry cannot be read, 2 wrong command "
                    "line.");
    command->callback([options] { report_command::run(*options); });
}

void report_command::run(const report_options& options)
{
    if (options.entries.empty() && options.sample_paths.empty()) {
        throw error(error_kind::invalid_argument, "report: neither --entry nor --samples is given",
                    "Name an entry or a sample file.");
    }
    auto [samples, unreachable] = collect_samples(options);
    if (!options.save_path.empty()) {
        write_sample_file(options.save_path, samples);
    }
    const policy::burn_rate burn(std::move(samples.snapshots), std::move(samples.attainments));
    auto notices = make_notices(burn);
    std::ranges::transform(unreachable, std::back_inserter(notices),
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
    if (!unreachable.empty()) {
        throw error(error_kind::unavailable,
                    fmt::format("{} of {} entries did not answer", unreachable.size(),
                                options.entries.size()),
                    unreachable.front().remedy());
    }
}

} // namespace medlaryoke::commands
