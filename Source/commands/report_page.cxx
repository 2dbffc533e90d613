#include "commands/report_page.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::commands {

namespace {

using policy::burn_row;
using policy::burn_view;

constexpr double percent_per_unit = 100;
constexpr std::size_t history_points = 60;
// Sizes are in SVG user units.
constexpr double plot_width = 600; ///< width of all plots and bars
constexpr double plot_height = 120;
constexpr double bar_height = 16;
constexpr double full_budget_rate = 1; ///< burn rate that uses exactly the error budget
constexpr std::array cause_names{"queueing", "upstream", "refusal", "unknown"};
constexpr std::array cause_colours{"#d95f02", "#1b6ca8", "#a6761d", "#777777"};

constexpr std::string_view page_head =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title>\n<style>body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;"
    "border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}"
    "</style></head>\n<body><h1>Service-level burn</h1>\n";

std::string escape_html(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
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

std::string make_table(const std::vector<burn_row>& rows, std::string_view title)
{
    auto text = fmt::format("<h2>By {}</h2>\n<table><tr><th>{}</th><th>requests</th>"
                            "<th>target</th><th>attained</th><th>left</th><th>burn, short</th>"
                            "<th>burn, long</th>",
                            title, title);
    for (const auto* name : cause_names) {
        text += fmt::format("<th>{}</th>", name);
    }
    text += "</tr>\n";
    for (const auto& it : rows) {
        text += fmt::format(
            "<tr><td>{}</td><td>{:.0f}</td><td>{}</td><td>{}</td><td>{}</td>"
            "<td>{}</td><td>{}</td>",
            escape_html(it.name), it.period.sums.total(), format_percentage(it.target()),
            format_percentage(it.attained()), format_percentage(it.budget_left()),
            format_rate(it.short_window.rate()), format_rate(it.long_window.rate()));
        for (const auto cause : policy::miss_causes) {
            text += fmt::format("<td>{:.0f}</td>", it.period.sums[cause]);
        }
        text += "</tr>\n";
    }
    return text + "</table>\n";
}

/// Draws one stacked bar for each row, showing its missed requests by cause.
std::string make_cause_bars(const std::vector<burn_row>& rows)
{
    std::string text;
    for (const auto& it : rows) {
        const auto missed = it.period.sums.missed();
        if (missed <= 0) {
            continue;
        }
        text += fmt::format("<p>{}: {:.0f} missed<br><svg width=\"{}\" height=\"{}\">",
                            escape_html(it.name), missed, plot_width, bar_height);
        double x = 0;
        for (std::size_t i = 0; i < cause_names.size(); ++i) {
            const auto n = it.period.sums[policy::miss_causes.at(i)];
            const auto width = n / missed * plot_width;
            text += fmt::format("<rect x=\"{:.1f}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\">"
                                "<title>{}: {:.0f}</title></rect>",
                                x, width, bar_height, cause_colours.at(i), cause_names.at(i), n);
            x += width;
        }
        text += "</svg></p>\n";
    }
    return text;
}

/// Draws the burn rate over time, with a dashed line at a rate of 1. The curve has gaps where no
/// requests are known.
std::string make_history_plot(const std::vector<std::optional<double>>& values)
{
    double max_rate = full_budget_rate;
    for (const auto& it : values) {
        max_rate = std::max(max_rate, it.value_or(0));
    }
    const auto y = [max_rate](double value) { return plot_height * (1 - value / max_rate); };
    auto text = fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">"
                            "<line x1=\"0\" x2=\"{0}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" "
                            "stroke=\"#999\" stroke-dasharray=\"4\"/><path fill=\"none\" "
                            "stroke=\"#d95f02\" stroke-width=\"2\" d=\"",
                            plot_width, plot_height, y(full_budget_rate));
    bool connected = false;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const auto& value = values.at(i);
        if (value) {
            const auto x =
                plot_width * static_cast<double>(i + 1) / static_cast<double>(values.size());
            text += fmt::format("{}{:.1f} {:.1f}", connected ? 'L' : 'M', x, y(*value));
        }
        connected = value.has_value();
    }
    return text + fmt::format("\"/></svg><br>highest shown: {:.2f}", max_rate);
}

} // namespace

std::string make_report_page(const policy::burn_rate& burn, const policy::burn_windows& windows,
                             const std::vector<std::string>& notices)
{
    std::string text(page_head);
    text += fmt::format("<p>{} snapshots, {} restarts, {} resets</p>\n", burn.snapshots(),
                        burn.restarts(), burn.resets());
    for (const auto& it : notices) {
        text += fmt::format("<p>Note: {}</p>\n", escape_html(it));
    }
    const auto priorities = burn.table(burn_view::priority, windows);
    text += make_table(priorities, "priority");
    text += "<h3>Burn rate over the short window</h3>\n";
    for (const auto& it : priorities) {
        text += fmt::format(
            "<p>{}<br>{}</p>\n", escape_html(it.name),
            make_history_plot(burn.history(it.name, windows.short_window, history_points)));
    }
    text += "<h3>Causes of misses</h3>\n<p>";
    for (std::size_t i = 0; i < cause_names.size(); ++i) {
        text += fmt::format("<span style=\"color:{}\">&#9632;</span> {} ", cause_colours.at(i),
                            cause_names.at(i));
    }
    text += "</p>\n" + make_cause_bars(priorities);
    text += make_table(burn.table(burn_view::organisation, windows), "organisation");
    text += make_table(burn.table(burn_view::target, windows), "model group");
    return text + "</body></html>\n";
}

} // namespace medlaryoke::commands
