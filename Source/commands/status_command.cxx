#include "commands/status_command.h"

#include <future>
#include <iostream>
#include <memory>
#include <utility>
#include <variant>

#include <CLI/App.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "transport/http_client.h"
#include "transport/runtime.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;
using transport::http_failure;
using transport::http_response;
using http_result = std::variant<http_response, http_failure>;

constexpr unsigned status_ok = 200;

/// A status request that was sent to one entry.
struct status_request {
    std::string address;
    std::unique_ptr<transport::http_client> client;
    std::future<http_result> future_result;
};

status_request send_request(transport::runtime& runtime, const std::string& address,
                            duration timeout)
{
    status_request result{address, std::make_unique<transport::http_client>(runtime, address), {}};
    const auto promise = std::make_shared<std::promise<http_result>>();
    result.future_result = promise->get_future();
    transport::http_timeouts timeouts;
    timeouts.connect = timeout;
    timeouts.first_byte = timeout;
    timeouts.between_bytes = timeout;
    result.client->fetch({"GET", "/v1/status", {}, {}}, timeouts,
                         [promise](http_result it) { promise->set_value(std::move(it)); });
    return result;
}

/// Waits for the reply of an entry.
/// @return the state of the entry, or an object with the field `error`
json wait_for_status(status_request& it)
{
    const auto result = it.future_result.get();
    if (const auto* const failure = std::get_if<http_failure>(&result)) {
        return {{"address", it.address}, {"error", failure->message}};
    }
    const auto& response = std::get<http_response>(result);
    auto body = json::parse(response.body, nullptr, false);
    if (response.head.status != status_ok || !body.is_object()) {
        return {{"address", it.address},
                {"error", fmt::format("status {} instead of a state", response.head.status)}};
    }
    body["address"] = it.address;
    return body;
}

void write_text(const json& state)
{
    const auto text = [](const json& object, const char* key) {
        return object.value(key, std::string("?"));
    };
    const auto number = [](const json& object, const char* key) { return object.value(key, 0); };
    const auto rows = [&state](const char* key) { return state.value(key, json::array()); };
    if (state.contains("error")) {
        std::cout << fmt::format("entry {}: no answer: {}\n", text(state, "address"),
                                 text(state, "error"));
        return;
    }
    const auto config = state.value("config", json::object());
    std::cout << fmt::format(
        "entry {} ({}, {}): {}, configuration {}, in force everywhere up to {}\n",
        text(state, "instance"), text(state, "data_centre"), text(state, "address"),
        state.value("draining", false) ? "draining" : "serving", number(config, "offset"),
        number(config, "confirmed_offset"));
    for (const auto& it : rows("queues")) {
        std::cout << fmt::format("  queue {}: {} waiting, {} running\n", text(it, "target"),
                                 number(it, "waiting"), number(it, "running"));
    }
    for (const auto& it : rows("links")) {
        std::cout << fmt::format("  upstream {} of {}: {}, {} running, {} queued, limit {}\n",
                                 text(it, "upstream"), text(it, "target"), text(it, "state"),
                                 number(it, "running"), number(it, "queued"), number(it, "limit"));
    }
    for (const auto& it : rows("peers")) {
        std::cout << fmt::format("  peer {} ({}): {}, configuration {}\n", text(it, "instance"),
                                 text(it, "caller_address"), text(it, "state"),
                                 number(it, "config_offset"));
    }
}

} // namespace

void status_command::add_to(CLI::App& app)
{
    auto* command = app.add_subcommand("status", "Show the state of entries");
    const auto options = std::make_shared<status_options>();
    command->add_option("--entry", options->entries, "Operator addresses of the entries")
        ->required()
        ->type_name("IP:PORT");
    command->add_flag("--json", options->json, "Write one JSON array");
    command->callback([options] {
        if (status_command::run(*options) != 0) {
            throw error(error_kind::unavailable, "an entry did not answer",
                        "Check the addresses, and whether these entries are running.");
        }
    });
}

int status_command::run(const status_options& options)
{
    transport::runtime runtime(1);
    runtime.start();
    std::vector<status_request> requests;
    requests.reserve(options.entries.size());
    for (const auto& address : options.entries) {
        requests.push_back(send_request(runtime, address, options.timeout));
    }
    json states = json::array();
    bool all_replied = true;
    for (auto& it : requests) {
        states.push_back(wait_for_status(it));
        all_replied = all_replied && !states.back().contains("error");
    }
    runtime.stop();
    runtime.wait();
    if (options.json) {
        constexpr int indent = 2;
        std::cout << states.dump(indent) << '\n';
    }
    else {
        for (const auto& it : states) {
            write_text(it);
        }
    }
    return all_replied ? 0 : 1;
}

} // namespace medlaryoke::commands
