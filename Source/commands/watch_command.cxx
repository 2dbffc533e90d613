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

/// Parses server-sent events and writes one line for each: version, type and JSON.
class event_printer {
public:
    /// @param data next chunk of the stream; need not end at a line boundary
    void add(const std::string& data)
    {
        this->partial_line_ += data;
        for (auto end = this->partial_line_.find('\n'); end != std::string::npos;
             end = this->partial_line_.find('\n')) {
            this->add_line(this->partial_line_.substr(0, end));
            this->partial_line_.erase(0, end + 1);
        }
        std::cout << std::flush;
    }

    /// @return the version of the last event, empty before the first one
    [[nodiscard]] const std::string& last_id() const { return this->last_id_; }

private:
    void add_line(const std::string& line)
    {
        const auto value = [&line](std::string_view key) { return line.substr(key.size()); };
        if (line.starts_with("id: ")) {
            this->last_id_ = value("id: ");
        }
        else if (line.starts_with("event: ")) {
            this->type_ = value("event: ");
        }
        else if (line.starts_with("data: ")) {
            std::cout << fmt::format("{} {} {}\n", this->last_id_, this->type_, value("data: "));
        }
    }

    std::string partial_line_;
    std::string last_id_;
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
    command->add_option("--from", options->after_version, "Leave out changes up to this version")
        ->type_name("VERSION")
        ->capture_default_str();
    command->footer("Exit codes: 1 no answer or the stream broke, 2 wrong command line; without "
                    "an error the command runs until it is interrupted.");
    command->callback([options] { watch_command::run(*options); });
}

void watch_command::run(const watch_options& options)
{
    operator_client client(options.entry);
    const auto printer = std::make_shared<event_printer>();
    client.follow(fmt::format("/v1/watch?from={}", options.after_version),
                  [printer](const std::string& data) { printer->add(data); });
    throw error(error_kind::unavailable, fmt::format("{} ended the stream", options.entry),
                fmt::format("Continue with --from {}, on this entry or another one.",
                            printer->last_id().empty() ? fmt::to_string(options.after_version)
                                                       : printer->last_id()));
}

} // namespace medlaryoke::commands
