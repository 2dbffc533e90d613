#include "filters/authentication_filter.h"

#include <algorithm>
#include <string_view>

#include "base/digest.h"

namespace medlaryoke::filters {

filter_result authentication_filter::apply(request_context& context) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = transport::find_header(context.request.headers, "Authorization");
    if (!header.starts_with(scheme) || header.size() == scheme.size()) {
        return refuse{error_kind::unauthenticated, "header Authorization carries no bearer token",
                      "Send `Authorization: Bearer <credential>`."};
    }
    const auto digest = sha256_hex(header.substr(scheme.size()));
    const auto& callers = context.config->callers;
    const auto it = std::ranges::find_if(callers, [&digest](const auto& entry) {
        return entry.second.spec.credential_sha256 == digest;
    });
    if (it == callers.end()) {
        return refuse{error_kind::unauthenticated,
                      "the bearer token in header Authorization belongs to no caller",
                      "Check the credential, or ask the operator to declare the caller."};
    }
    context.work.caller = it->first;
    context.work.organisation = it->second.spec.organisation;
    context.work.share = it->second.spec.share;
    return proceed{};
}

} // namespace medlaryoke::filters
