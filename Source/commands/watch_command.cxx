#include "commands/watch_command.h"

#include <iostream>
#include <memory>
#include <string>

#include <CLI/App.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "commands/operator_client.h"

namespace medlaryoke::commands {

namespace {

/// Turns server-sent events into one line each: version, type, JSON.
class event_lines {
public:
    void add(const std::string& data)
    {
        this->unread_ += data;
        for (auto end = this->unread_.find('\n'); end != std::string::npos;
             end = this->unread_.find('\n')) {
            this->add_line(this->unread_.substr(0, end));
            this->unread_.erase(0, end + 1);
        }
        std::cout << std::flush;
    }

    [[nodiscard]] const std::string& last_id() const { return this->id_; }

private:
    void add_line(const std::string& line)
    {
        const auto value = [&line](std::string_view key) { return line.substr(key.size()); };
        if (line.starts_with("id: ")) {
            this->id_ = value("id: ");
        }
        else if (line.starts_with("event: ")) {
            this->type_ = value("event: ");
        }
        else if (line.starts_with("data: ")) {
            std::cout << fmt::format("{} {} {}\n", this->id_, this->type_, value("data: "));
        }
    }

    std::string unread_;
    std::string id_;
    std::string type_;
};

} // namespace

void watch_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "watch", "Write one line for each change: version, type and resource as JSON");
    const auto options = std::make_shared<watch_options>();
    command->add_option("--entry", options->entry, "Operator address of an entry")
        ->required()
        ->type_name("IP:PORT");
    command->add_option("--from", options->from, "Leave out changes up to this version")
        ->type_name("VERSION")
        ->capture_default_str();
    command->footer("Exit codes: 1 no answer or the stream broke, 2 wrong command line; without "
                    "an error the command runs until it is interrupted.");
    command->callback([options] { watch_command::run(*options); });
}

void watch_command::run(const watch_options& options)
{
    operator_client client(options.entry);
    const auto lines = std::make_shared<event_lines>();
    client.follow(fmt::format("/v1/watch?from={}", options.from),
                  [lines](const std::string& data) { lines->add(data); });
    throw error(
        error_kind::unavailable, fmt::format("{} ended the stream", options.entry),
        fmt::format("Go on with --from {}, at this entry or another one.",
                    lines->last_id().empty() ? fmt::to_string(options.from) : lines->last_id()));
}

} // namespace medlaryoke::commands
