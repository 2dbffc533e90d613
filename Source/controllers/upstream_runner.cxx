#include "controllers/upstream_runner.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace medlaryoke::controllers {

namespace {

/// Headers that concern one connection, or that the HTTP client sets itself.
constexpr std::array<std::string_view, 8> connection_headers{
    "connection", "content-length",    "host",   "keep-alive", "te",
    "trailer",    "transfer-encoding", "upgrade"};

bool is_connection_header(std::string_view name)
{
    return std::ranges::any_of(connection_headers, [name](std::string_view it) {
        return std::ranges::equal(
            name, it, [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
    });
}

/// Adds the priority to the JSON body of a chat completion; empty if the body is no JSON object.
std::optional<std::string> with_priority(const std::string& body, unsigned priority)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    json["priority"] = priority;
    return to_json_text(json);
}

class http_call final : public upstream_call {
public:
    explicit http_call(std::shared_ptr<transport::http_exchange> exchange)
        : exchange_(std::move(exchange))
    {
    }

    void cancel() override { this->exchange_->cancel(); }

private:
    std::shared_ptr<transport::http_exchange> exchange_;
};

transport::http_events to_http_events(upstream_events events)
{
    transport::http_events result;
    result.on_head = [fn = std::move(events.on_head)](const transport::http_head& head) {
        auto passed = head;
        std::erase_if(passed.headers, [](const auto& it) { return is_connection_header(it.name); });
        fn(passed);
    };
    result.on_data = std::move(events.on_data);
    result.on_end = std::move(events.on_end);
    result.on_failure = [fn = std::move(events.on_failure)](const transport::http_failure& it) {
        fn(it.maybe_sent, it.message);
    };
    return result;
}

} // namespace

upstream_runner::upstream_runner(transport::runtime& context, upstream_runner_options options)
    : options_(std::move(options)), client_(context, this->options_.address)
{
}

std::shared_ptr<upstream_call> upstream_runner::start(const wire::dispatch& request,
                                                      duration time_left, upstream_events events)
{
    transport::http_request sent;
    sent.method = request.method();
    sent.target = request.target();
    sent.body = request.body();
    if (this->options_.engine) {
        auto body = with_priority(request.body(), request.priority());
        if (!body) {
            events.on_failure(false, "the body of the chat completion is not a JSON object");
            return nullptr;
        }
        sent.method = "POST";
        sent.target = "/v1/chat/completions";
        sent.body = std::move(*body);
    }
    for (const auto& it : request.headers()) {
        if (!is_connection_header(it.name())) {
            sent.headers.push_back({.name = it.name(), .value = it.value()});
        }
    }
    sent.headers.push_back({.name = "Medlaryoke-Request-Id", .value = request.request_id()});
    if (!request.idempotency_key().empty() &&
        transport::find_header(sent.headers, "Idempotency-Key").empty()) {
        sent.headers.push_back({.name = "Idempotency-Key", .value = request.idempotency_key()});
    }
    transport::http_timeouts timeouts;
    timeouts.connect = this->options_.connect_timeout;
    timeouts.between_bytes = this->options_.pause_timeout;
    timeouts.first_byte = request.idempotent()
                              ? time_left
                              : std::max(time_left, this->options_.min_wait_if_not_idempotent);
    return std::make_shared<http_call>(
        this->client_.send(sent, timeouts, to_http_events(std::move(events))));
}

void upstream_runner::probe(const std::function<void(bool)>& done)
{
    transport::http_timeouts timeouts;
    timeouts.connect = this->options_.connect_timeout;
    timeouts.first_byte = this->options_.connect_timeout;
    this->client_.fetch({.method = "GET", .target = "/healthz", .headers = {}, .body = {}},
                        timeouts, [done](const auto& result) {
                            done(std::holds_alternative<transport::http_response>(result));
                        });
}

} // namespace medlaryoke::controllers
