#include "filters/target_filter.h"

#include <algorithm>
#include <string_view>

#include <fmt/format.h>

namespace medlaryoke::filters {

namespace {

filter_result resolve_model(request_context& context)
{
    for (const auto& [name, group] : context.config->model_groups) {
        if (group.spec.model == context.model || name == context.model) {
            context.work.target = name;
            // Repeating a completion costs engine time but has no side effects.
            context.work.idempotent = true;
            return proceed{};
        }
    }
    return refuse{error_kind::not_found,
                  fmt::format("field model names unknown model \"{}\"", context.model),
                  "Use a model that a declared model_group serves."};
}

/// @return whether a path is equal to or below a prefix: `/pay` covers `/pay` and `/pay/1`, not
/// `/payment`.
bool is_below(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    path.remove_prefix(prefix.size());
    return path.empty() || prefix.ends_with('/') || path.front() == '/' || path.front() == '?';
}

bool is_repeatable(const model::upstream_spec& spec, const transport::http_request& request)
{
    return std::ranges::any_of(spec.repeatable, [&request](const model::repeatable_call& call) {
        return call.method == request.method && is_below(request.target, call.path_prefix);
    });
}

filter_result resolve_service(request_context& context)
{
    bool found = false;
    bool repeatable = true;
    for (const auto& [name, upstream] : context.config->upstreams) {
        const auto& spec = upstream.spec;
        if (spec.type == model::upstream_type::service && spec.serves == context.service) {
            found = true;
            // A retry may go to any upstream of the service, so all of them must allow it.
            repeatable = repeatable && is_repeatable(spec, context.work.upstream_request);
        }
    }
    if (!found) {
        return refuse{error_kind::not_found,
                      fmt::format("the path names unknown service \"{}\"", context.service),
                      "Use a service that a declared upstream serves."};
    }
    context.work.target = context.service;
    context.work.idempotent = repeatable;
    return proceed{};
}

} // namespace

filter_result target_filter::apply(request_context& context) const
{
    return context.is_chat ? resolve_model(context) : resolve_service(context);
}

} // namespace medlaryoke::filters
