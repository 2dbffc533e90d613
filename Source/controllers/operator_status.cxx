#include "controllers/operator_status.h"

#include <chrono>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "transport/error_response.h"

namespace medlaryoke::controllers {

namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr int json_indent_spaces = 2;

std::int64_t unix_time_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string to_hex(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

json describe_link(const upstream_status& it)
{
    const auto& load = it.view.load;
    const bool leaving = it.leaving || load.leaving();
    return {{"upstream", it.upstream},
            {"target", it.target},
            {"state", !it.view.connected ? "silent" : (leaving ? "leaving" : "connected")},
            {"agent_incarnation", to_hex(it.view.agent_incarnation)},
            {"upstream_up", load.upstream_up()},
            {"running", load.running()},
            {"queued", load.queued()},
            {"limit", load.limit()},
            {"first_token_us", load.latency_us()},
            {"dispatched_since_report", it.view.dispatched_since_report},
            {"config_offset", it.view.config_offset},
            {"confirmed_offset", it.view.confirmed_offset}};
}

json describe_peer(const peer_view& it)
{
    using std::chrono::milliseconds;
    return {{"instance", it.state.instance()},
            {"data_centre", it.state.data_centre()},
            {"incarnation", to_hex(it.state.incarnation())},
            {"caller_address", it.state.caller_address()},
            {"state", it.failed ? "failed" : (it.state.draining() ? "draining" : "live")},
            {"silent_ms", std::chrono::duration_cast<milliseconds>(it.silent_for).count()},
            {"config_offset", it.state.config_offset()},
            {"confirmed_offset", it.state.confirmed_offset()}};
}

std::string status_text(const entry_status& status)
{
    json body{{"role", "entry"},
              {"instance", status.instance},
              {"data_centre", status.data_centre},
              {"incarnation", to_hex(status.incarnation)},
              {"caller_address", status.caller_address},
              {"draining", status.draining},
              {"config",
               {{"offset", status.config_offset},
                {"since_unix_ms", status.config_since_unix_ms},
                {"confirmed_offset", status.confirmed_offset},
                {"log_available", status.log_available}}},
              {"limits",
               {{"max_queue_items", status.max_queue_items},
                {"max_body_bytes", status.max_body_bytes},
                {"subset_size", status.subset_size}}},
              {"open_connections", status.open_connections},
              {"links", json::array()},
              {"queues", json::array()},
              {"peers", json::array()}};
    for (const auto& it : status.links) {
        body["links"].push_back(describe_link(it));
    }
    for (const auto& it : status.queues) {
        body["queues"].push_back(
            {{"target", it.target}, {"waiting", it.waiting}, {"running", it.running}});
    }
    for (const auto& it : status.peers) {
        body["peers"].push_back(describe_peer(it));
    }
    return body.dump(json_indent_spaces);
}

std::string samples_text(const entry_status& status, const request_statistics& statistics)
{
    json body{{"instance", status.instance},
              {"incarnation", to_hex(status.incarnation)},
              {"time_unix_ms", unix_time_ms()},
              {"samples", json::array()}};
    for (const auto& it : statistics.samples()) {
        body["samples"].push_back({{"priority", it.priority},
                                   {"organisation", it.organisation},
                                   {"target", it.target},
                                   {"total", it.total},
                                   {"within_target", it.within_target},
                                   {"missed",
                                    {{"queueing", it.missed_queueing},
                                     {"upstream", it.missed_upstream},
                                     {"refusal", it.missed_refusal},
                                     {"unknown", it.missed_unknown}}},
                                   {"cancelled", it.cancelled}});
    }
    return body.dump(json_indent_spaces);
}

std::string metrics_text(const entry_status& status, const request_statistics& statistics)
{
    auto text = statistics.metrics_text();
    const auto gauge = [&text](std::string_view name, auto value) {
        text += fmt::format("# TYPE {0} gauge\n{0} {1}\n", name, value);
    };
    gauge("medlaryoke_draining", status.draining ? 1 : 0);
    gauge("medlaryoke_config_offset", status.config_offset);
    gauge("medlaryoke_config_confirmed_offset", status.confirmed_offset);
    gauge("medlaryoke_log_available", status.log_available ? 1 : 0);
    gauge("medlaryoke_open_connections", status.open_connections);
    text += "# TYPE medlaryoke_waiting_requests gauge\n";
    for (const auto& it : status.queues) {
        text +=
            fmt::format("medlaryoke_waiting_requests{{target=\"{}\"}} {}\n", it.target, it.waiting);
    }
    text += "# TYPE medlaryoke_running_requests gauge\n";
    for (const auto& it : status.queues) {
        text +=
            fmt::format("medlaryoke_running_requests{{target=\"{}\"}} {}\n", it.target, it.running);
    }
    text += "# TYPE medlaryoke_link_connected gauge\n";
    for (const auto& it : status.links) {
        text += fmt::format("medlaryoke_link_connected{{upstream=\"{}\",target=\"{}\"}} {}\n",
                            it.upstream, it.target, it.view.connected ? 1 : 0);
    }
    return text;
}

transport::http_response make_text_response(unsigned status, std::string body)
{
    return {{status, {{"Content-Type", "text/plain; version=0.0.4"}}}, std::move(body)};
}

} // namespace

operator_status::operator_status(std::function<entry_status()> status,
                                 const request_statistics& statistics)
    : status_(std::move(status)), statistics_(statistics)
{
}

bool operator_status::handle(const transport::http_request& request,
                             transport::response_stream& response) const
{
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/healthz") {
        response.respond(make_text_response(status_ok, "ok\n"));
    }
    else if (path == "/readyz") {
        const bool ready = !this->status_().draining;
        response.respond(ready ? make_text_response(status_ok, "ready\n")
                               : make_text_response(status_unavailable, "draining\n"));
    }
    else if (path == "/metrics") {
        response.respond(
            make_text_response(status_ok, metrics_text(this->status_(), this->statistics_)));
    }
    else if (path == "/v1/status") {
        response.respond(transport::make_json_response(status_ok, status_text(this->status_())));
    }
    else if (path == "/v1/samples") {
        response.respond(transport::make_json_response(
            status_ok, samples_text(this->status_(), this->statistics_)));
    }
    else {
        return false;
    }
    return true;
}

} // namespace medlaryoke::controllers
