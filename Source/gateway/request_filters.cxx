#include "gateway/request_filters.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/digest.h"
#include "transport/header_names.h"

namespace medlaryoke::gateway {

namespace {

// Used if the configuration states no priority for an organisation; most organisations have this
// one.
constexpr unsigned default_organisation_priority = 1;

// Further parts of a prompt are ignored, and longer names are replaced by a digest, so that a
// caller cannot fill the memory of the gateways.
constexpr std::size_t max_shared_parts = 16;
constexpr std::size_t max_part_name = 64;

/// @return the key of an `Authorization: Bearer` header, empty if there is none
std::string_view bearer_token(std::string_view value)
{
    constexpr std::string_view scheme = "bearer ";
    if (!transport::header_names_equal(value.substr(0, scheme.size()), scheme)) {
        return {};
    }
    value.remove_prefix(scheme.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    return value;
}

/// @throws error of kind unavailable while the configuration is not confirmed
void require_confirmed(const active_config& active)
{
    if (!active.is_confirmed) {
        throw error(error_kind::unavailable, "the configuration is not confirmed yet",
                    "Retry the request later.");
    }
}

} // namespace

routed_request request_filters::apply(const transport::http_request& message,
                                      const active_config& active, time_point now) const
{
    if (!active.config) {
        throw error(error_kind::unavailable, "no configuration is loaded yet",
                    "Retry the request later.");
    }
    routed_request request;
    request.message = message;
    request.config = active.config;
    request.arrived = now;
    this->read_request_id(request);
    find_route(request, active);
    authenticate(request, active);
    this->set_deadline(request);
    this->read_prompt_tokens(request);
    this->read_shared_parts(request);
    this->remove_internal_headers(request);
    return request;
}

void request_filters::read_request_id(routed_request& request) const
{
    request.id = transport::find_header(request.message.headers, this->protocol_.request_id);
    if (request.id.empty()) {
        throw error(error_kind::invalid_argument,
                    fmt::format("header {} is missing", this->protocol_.request_id),
                    "Send a unique id with each request.");
    }
}

void request_filters::find_route(routed_request& request, const active_config& active)
{
    const auto host = transport::find_header(request.message.headers, "Host");
    const std::string_view target = request.message.target;
    const auto path = target.substr(0, target.find_first_of("?#"));
    request.route = active.table->find(host, path);
    if (request.route == nullptr) {
        require_confirmed(active);
        throw error(error_kind::not_found, fmt::format("no route for {}{}", host, path),
                    "Check the host and the path against the configuration.");
    }
    request.priority = request.route->priority;
}

void request_filters::authenticate(routed_request& request, const active_config& active)
{
    if (!request.config->has_organisations || request.route->is_public) {
        return;
    }
    const auto key = bearer_token(transport::find_header(request.message.headers, "Authorization"));
    const auto found = request.config->organisations_by_key.find(std::string(key));
    if (found == request.config->organisations_by_key.end()) {
        require_confirmed(active);
        throw error(error_kind::unauthenticated, "the request has no valid API key",
                    "Send an API key that the operator has issued.");
    }
    request.organisation = found->second.name;
    request.organisation_priority = found->second.priority.value_or(default_organisation_priority);
}

void request_filters::set_deadline(routed_request& request) const
{
    // Longer than a request waits; keeps the sum within the range of the clock.
    constexpr std::int64_t max_ms = std::chrono::milliseconds(std::chrono::days(30)).count();
    request.deadline = request.arrived + request.route->timeout;
    const auto text = transport::find_header(request.message.headers, this->protocol_.deadline);
    std::int64_t ms = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), ms).ec == std::errc{}) {
        request.deadline = std::min<time_point>(
            request.deadline,
            request.arrived + std::chrono::milliseconds(std::clamp<std::int64_t>(ms, 0, max_ms)));
    }
}

void request_filters::read_prompt_tokens(routed_request& request) const
{
    const auto text = transport::find_header(request.message.headers, this->protocol_.token_usage);
    unsigned tokens = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), tokens).ec == std::errc{}) {
        request.prompt_tokens = tokens;
    }
}

void request_filters::read_shared_parts(routed_request& request) const
{
    const auto& headers = request.message.headers;
    const auto text = transport::find_header(headers, this->protocol_.prompt_parts);
    const auto model = transport::find_header(headers, this->protocol_.model);
    // The last part belongs to this request alone.
    for (std::size_t at = 0, comma = text.find(','); comma != std::string_view::npos;
         at = comma + 1, comma = text.find(',', at)) {
        const auto entry = text.substr(at, comma - at);
        auto name = fmt::format("{}/{}", model, entry.substr(0, entry.find(':')));
        if (request.shared_parts.size() == max_shared_parts) {
            return;
        }
        if (name.size() > max_part_name) {
            name = fmt::format("{:016x}", hash64(name));
        }
        request.shared_parts.push_back(std::move(name));
    }
}

void request_filters::remove_internal_headers(routed_request& request) const
{
    auto& headers = request.message.headers;
    transport::remove_hop_by_hop_headers(headers);
    const std::array<std::string_view, 5> removed{
        "Authorization", this->protocol_.organisation, this->protocol_.expected_upstream,
        this->protocol_.priority, this->protocol_.deadline};
    std::erase_if(headers, [&](const transport::http_header& field) {
        return std::ranges::any_of(removed, [&field](std::string_view name) {
            return transport::header_names_equal(field.name, name);
        });
    });
}

} // namespace medlaryoke::gateway
