#include "controllers/agent_status.h"

#include <string_view>

#include <fmt/format.h>

#include "base/error.h"
#include "transport/error_response.h"

namespace medlaryoke::controllers {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

transport::http_response text_response(unsigned status, std::string body)
{
    transport::http_response response;
    response.head.status = status;
    response.head.headers.push_back(
        {.name = "Content-Type", .value = "text/plain; version=0.0.4; charset=utf-8"});
    response.body = std::move(body);
    return response;
}

/// Appends a metric without labels in the Prometheus text format.
void add_metric(std::string& text, std::string_view name, std::string_view type,
                std::string_view help, std::uint64_t value)
{
    text += fmt::format("# HELP medlaryoke_agent_{0} {1}\n# TYPE medlaryoke_agent_{0} {2}\n"
                        "medlaryoke_agent_{0} {3}\n",
                        name, help, type, value);
}

} // namespace

std::string format_metrics(const agent_status& status)
{
    const auto& counts = status.counts;
    std::string text;
    add_metric(text, "started_total", "counter", "Requests that got a slot.", counts.started);
    add_metric(text, "finished_total", "counter", "Requests answered whole.", counts.finished);
    add_metric(text, "failed_total", "counter", "Requests with an unknown outcome.", counts.failed);
    add_metric(text, "refused_total", "counter", "Requests refused as not run.", counts.refused);
    add_metric(text, "cancelled_total", "counter", "Requests their entry gave up.",
               counts.cancelled);
    add_metric(text, "resumed_total", "counter", "Answers continued on a new connection.",
               counts.resumed);
    add_metric(text, "running", "gauge", "Slots taken at the upstream.", counts.load.running());
    add_metric(text, "queued", "gauge", "Requests that wait at the agent.", counts.load.queued());
    add_metric(text, "limit", "gauge", "Slots at the upstream.", counts.load.limit());
    add_metric(text, "first_byte_microseconds", "gauge", "Smoothed time to the first byte.",
               counts.load.latency_us());
    add_metric(text, "upstream_up", "gauge", "1 if the last call reached the upstream.",
               counts.load.upstream_up() ? 1 : 0);
    add_metric(text, "leaving", "gauge", "1 if no new work is taken.",
               counts.load.leaving() ? 1 : 0);
    add_metric(text, "entries", "gauge", "Entries with an open session.", counts.entries);
    add_metric(text, "replay_bytes", "gauge", "Bytes of answers kept for a resume.",
               counts.replay_bytes);
    add_metric(text, "pending_claim_records", "gauge", "Claim records the log has not taken.",
               status.pending_claim_records);
    add_metric(text, "config_offset", "gauge", "Configuration in force.", status.config_offset);
    return text;
}

transport::http_response answer_agent_operator_request(const transport::http_request& request,
                                                       const agent_status& status)
{
    if (request.method != "GET") {
        return transport::make_error_response(
            error(error_kind::invalid_argument,
                  fmt::format("unknown method \"{}\"", request.method), "Use GET."));
    }
    if (request.target == "/healthz") {
        return text_response(status_ok, "ok\n");
    }
    if (request.target == "/readyz") {
        if (status.draining || status.counts.load.leaving()) {
            return text_response(status_unavailable, "leaving\n");
        }
        if (!status.counts.load.upstream_up()) {
            return text_response(status_unavailable,
                                 fmt::format("upstream {} is down\n", status.upstream));
        }
        return text_response(status_ok, "ready\n");
    }
    if (request.target == "/metrics") {
        return text_response(status_ok, format_metrics(status));
    }
    return transport::make_error_response(error(error_kind::not_found,
                                                fmt::format("unknown path \"{}\"", request.target),
                                                "Use /healthz, /readyz or /metrics."));
}

} // namespace medlaryoke::controllers
