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

/// Names, in lower case, of headers that are not forwarded: they concern a single connection, or
/// the HTTP client sets them itself.
constexpr std::array<std::string_view, 8> dropped_headers{
    "connection", "content-length",    "host",   "keep-alive", "te",
    "trailer",    "transfer-encoding", "upgrade"};

bool is_dropped_header(std::string_view name)
{
    return std::ranges::any_of(dropped_headers, [name](std::string_view it) {
        return std::ranges::equal(
            name, it, [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
    });
}

/// Adds the field `priority` to the body of a chat completion.
/// @return the new body; empty if the body is not a JSON object
std::optional<std::string> add_priority(const std::string& body, unsigned priority)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    json["priority"] = priority;
    return to_json_text(json);
}

/// A call that is an HTTP exchange with the upstream.
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
        auto forwarded_head = head;
        std::erase_if(forwarded_head.headers,
                      [](const auto& it) { return is_dropped_header(it.name); });
        fn(forwarded_head);
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
    transport::http_request outgoing;
    outgoing.method = request.method();
    outgoing.target = request.target();
    outgoing.body = request.body();
    if (this->options_.is_engine) {
        auto body = add_priority(request.body(), request.priority());
        if (!body) {
            events.on_failure(false, "the body of the chat completion is not a JSON object");
            return nullptr;
        }
        outgoing.method = "POST";
        outgoing.target = "/v1/chat/completions";
        outgoing.body = std::move(*body);
    }
    for (const auto& it : request.headers()) {
        if (!is_dropped_header(it.name())) {
            outgoing.headers.push_back({.name = it.name(), .value = it.value()});
        }
    }
    outgoing.headers.push_back({.name = "Medlaryoke-Request-Id", .value = request.request_id()});
    if (!request.idempotency_key().empty() &&
        transport::find_header(outgoing.headers, "Idempotency-Key").empty()) {
        outgoing.headers.push_back({.name = "Idempotency-Key", .value = request.idempotency_key()});
    }
    transport::http_timeouts timeouts;
    timeouts.connect = this->options_.connect_timeout;
    timeouts.between_bytes = this->options_.between_bytes_timeout;
    timeouts.first_byte =
        request.idempotent()
            ? time_left
            : std::max(time_left, this->options_.min_first_byte_timeout_if_not_idempotent);
    return std::make_shared<http_call>(
        this->client_.send(outgoing, timeouts, to_http_events(std::move(events))));
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
