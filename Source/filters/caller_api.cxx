#include "filters/caller_api.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/identifiers.h"
#include "controllers/outcome.h"
#include "filters/authentication_filter.h"
#include "transport/error_response.h"

namespace medlaryoke::filters {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned status_ok = 200;

transport::http_response make_refusal(const refuse& refusal, const std::string& request_id)
{
    return controllers::make_failure_response(
        {controllers::outcome::not_run, refusal.kind, refusal.message, refusal.remedy}, request_id);
}

refuse refuse_method(std::string_view path, std::string_view supported_method)
{
    return {error_kind::invalid_argument, fmt::format("{} does not support this method", path),
            fmt::format("Use {}.", supported_method)};
}

/// Refuses requests until a configuration has been received, because no credential is known before.
refuse no_configuration()
{
    return {error_kind::unavailable, "this entry has not received its configuration yet",
            "Send the request again later, or to another entry."};
}

} // namespace

caller_api::caller_api(const clock_source& clock, caller_api_options options, filter_chain chain,
                       controllers::request_dispatcher& dispatcher,
                       controllers::request_statistics& statistics)
    : clock_(clock), options_(std::move(options)), chain_(std::move(chain)),
      dispatcher_(dispatcher), statistics_(statistics)
{
}

void caller_api::handle(transport::http_request request,
                        const std::shared_ptr<transport::response_stream>& response) const
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/v1/entries") {
        if (request.method != "GET") {
            response->respond(make_refusal(refuse_method(path, "GET"), make_unique_id("req")));
            return;
        }
        this->respond_with_entries(*response);
    }
    else if (path == "/v1/keys") {
        this->respond_with_key(std::move(request), *response);
    }
    else {
        this->submit(std::move(request), response);
    }
}

void caller_api::respond_with_entries(transport::response_stream& response) const
{
    const auto address_ttl =
        std::chrono::duration_cast<milliseconds>(this->options_.address_lifetime);
    json body{{"entries", json::array()}, {"ttl_ms", address_ttl.count()}};
    for (const auto& it : this->options_.entries()) {
        body["entries"].push_back({{"address", it.address}, {"data_centre", it.data_centre}});
    }
    response.respond(transport::make_json_response(status_ok, body.dump()));
}

void caller_api::respond_with_key(transport::http_request request,
                                  transport::response_stream& response) const
{
    if (request.method != "POST") {
        response.respond(make_refusal(refuse_method("/v1/keys", "POST"), make_unique_id("req")));
        return;
    }
    request_context context;
    context.request = std::move(request);
    context.config = this->options_.config();
    const auto result = authentication_filter().apply(context);
    if (const auto* const refusal = std::get_if<refuse>(&result)) {
        response.respond(make_refusal(*refusal, make_unique_id("req")));
        return;
    }
    const auto now = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const json body{
        {"key", fmt::format("mk1-{}-{:016x}{:016x}", now, random_bits(), random_bits())},
        {"created_unix_ms", now}};
    response.respond(transport::make_json_response(status_ok, body.dump()));
}

void caller_api::submit(transport::http_request request,
                        const std::shared_ptr<transport::response_stream>& response) const
{
    request_context context;
    context.request = std::move(request);
    context.config = this->options_.config();
    context.now = this->clock_.now();
    context.work.request_id = make_unique_id("req");
    context.work.received = context.now;
    const auto result = context.config->offset == 0 ? filter_result(no_configuration())
                                                    : this->chain_.apply(context);
    if (const auto* const refusal = std::get_if<refuse>(&result)) {
        this->statistics_.on_filter_refusal(refusal->kind);
        response->respond(make_refusal(*refusal, context.work.request_id));
        return;
    }
    this->dispatcher_.submit(std::move(context.work), response);
}

} // namespace medlaryoke::filters
