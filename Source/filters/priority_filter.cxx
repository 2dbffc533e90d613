#include "filters/priority_filter.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace medlaryoke::filters {

namespace {

/// @return the allowed priority with the highest order, empty if none of them exists
std::string find_least_urgent(const controllers::config_view& config,
                              const std::vector<std::string>& allowed)
{
    std::string least_urgent;
    unsigned highest_order = 0;
    for (const auto& name : allowed) {
        const auto it = config.priorities.find(name);
        if (it != config.priorities.end() &&
            (least_urgent.empty() || it->second.spec.order > highest_order)) {
            least_urgent = name;
            highest_order = it->second.spec.order;
        }
    }
    return least_urgent;
}

} // namespace

filter_result priority_filter::apply(request_context& context) const
{
    const auto& config = *context.config;
    const auto& allowed = config.callers.at(context.work.caller).spec.priorities;
    std::string name(transport::find_header(context.request.headers, "Medlaryoke-Priority"));
    if (name.empty()) {
        name = find_least_urgent(config, allowed);
        if (name.empty()) {
            return refuse{error_kind::permission_denied,
                          fmt::format("caller {} may use no priority", context.work.caller),
                          "Ask the operator to add a priority to the caller resource."};
        }
    }
    const auto it = config.priorities.find(name);
    if (it == config.priorities.end()) {
        return refuse{error_kind::invalid_argument,
                      fmt::format("header Medlaryoke-Priority names unknown priority \"{}\"", name),
                      fmt::format("Use one of: {}.", fmt::join(allowed, ", "))};
    }
    if (std::ranges::find(allowed, name) == allowed.end()) {
        return refuse{
            error_kind::permission_denied,
            fmt::format("caller {} may not use priority \"{}\"", context.work.caller, name),
            fmt::format("Use one of: {}.", fmt::join(allowed, ", "))};
    }
    const auto& spec = it->second.spec;
    context.work.priority = name;
    context.work.priority_order = spec.order;
    context.work.first_token_target = spec.first_token_target;
    context.work.token_interval_target = spec.token_interval_target;
    return proceed{};
}

} // namespace medlaryoke::filters
