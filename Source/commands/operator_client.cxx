#include "commands/operator_client.h"

#include <future>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/text_rules.h"

namespace medlaryoke::commands {

namespace {

using nlohmann::json;
using http_result = std::variant<transport::http_response, transport::http_failure>;

constexpr unsigned min_error_status = 400;
/// Longest pause in a stream. The entry sends a comment at least every 4 s.
constexpr duration stream_idle_timeout = std::chrono::seconds(15);

std::string check_address(std::string address)
{
    if (!obeys(text_rule::remote_address, address)) {
        throw error(error_kind::invalid_argument,
                    fmt::format("--entry: \"{}\" is not an IP address and port", address),
                    "Write an address such as 127.0.0.1:8081.");
    }
    return address;
}

/// @return the error kind with the given name, or `internal` if the name is unknown
error_kind parse_error_kind(const std::string& name)
{
    for (int it = 0; it <= static_cast<int>(error_kind::internal); ++it) {
        if (to_string(static_cast<error_kind>(it)) == name) {
            return static_cast<error_kind>(it);
        }
    }
    return error_kind::internal;
}

/// Converts the error object in the body of a reply to an error.
error parse_error(const std::string& address, unsigned status, const std::string& body)
{
    const auto object = json::parse(body, nullptr, false);
    const auto found = object.is_object() ? object.find("error") : object.end();
    if (!object.is_object() || found == object.end() || !found->is_object()) {
        return {error_kind::internal, fmt::format("{} answered with status {}", address, status),
                "Check that the address is the operator listener of an entry."};
    }
    return {parse_error_kind(found->value("kind", "")), found->value("message", ""),
            found->value("remedy", "")};
}

/// A change that may have been sent gets the kind `outcome_unknown`, since it may have been
/// accepted.
error make_no_reply_error(const std::string& address, const transport::http_failure& failure,
                          bool is_change)
{
    if (is_change && failure.maybe_sent) {
        return {error_kind::outcome_unknown,
                fmt::format("{} did not answer: {}", address, failure.message),
                "The change may have been accepted. Send it again: resources that are already as "
                "wanted are left alone."};
    }
    return {error_kind::unavailable, fmt::format("{} did not answer: {}", address, failure.message),
            "Check the address, or ask another entry."};
}

} // namespace

operator_client::operator_client(std::string address, duration timeout)
    : address_(check_address(std::move(address))), timeout_(timeout), runtime_(1),
      client_(runtime_, address_)
{
    this->runtime_.start();
}

operator_client::~operator_client()
{
    this->runtime_.stop();
}

std::string operator_client::fetch(const transport::http_request& request)
{
    const bool is_change = request.method != "GET";
    const auto promise = std::make_shared<std::promise<http_result>>();
    auto future_result = promise->get_future();
    transport::http_timeouts timeouts;
    timeouts.first_byte = this->timeout_;
    timeouts.between_bytes = this->timeout_;
    this->client_.fetch(request, timeouts,
                        [promise](http_result it) { promise->set_value(std::move(it)); });
    const auto result = future_result.get();
    if (const auto* failure = std::get_if<transport::http_failure>(&result)) {
        throw make_no_reply_error(this->address_, *failure, is_change);
    }
    const auto& response = std::get<transport::http_response>(result);
    if (response.head.status >= min_error_status) {
        throw parse_error(this->address_, response.head.status, response.body);
    }
    return response.body;
}

void operator_client::follow(const std::string& target,
                             const std::function<void(const std::string&)>& on_data)
{
    /// State of the stream; callbacks never run concurrently.
    struct stream_state {
        unsigned status = 0;
        std::string error_body;
        std::promise<std::optional<transport::http_failure>> ended;
    };
    const auto state = std::make_shared<stream_state>();
    transport::http_timeouts timeouts;
    timeouts.first_byte = this->timeout_;
    timeouts.between_bytes = stream_idle_timeout;
    transport::http_events events;
    events.on_head = [state](const transport::http_head& head) { state->status = head.status; };
    events.on_data = [state, on_data](const std::string& data) {
        if (state->status >= min_error_status) {
            state->error_body += data;
        }
        else {
            on_data(data);
        }
    };
    events.on_end = [state] { state->ended.set_value(std::nullopt); };
    events.on_failure = [state](const transport::http_failure& failure) {
        state->ended.set_value(failure);
    };
    const auto exchange = this->client_.send({"GET", target, {}, {}}, timeouts, std::move(events));
    const auto failure = state->ended.get_future().get();
    if (failure) {
        throw make_no_reply_error(this->address_, *failure, false);
    }
    if (state->status >= min_error_status) {
        throw parse_error(this->address_, state->status, state->error_body);
    }
}

} // namespace medlaryoke::commands
