#include "policy/config_review.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

model::route make_route(const std::string& name, const std::string& service = "desk")
{
    model::route route;
    route.name = name;
    route.host = "desk.example";
    route.path_prefix = "/" + name + "/";
    route.timeout = 2s;
    route.target_latency = 500ms;
    route.services.push_back({service, 1});
    return route;
}

model::route_config make_config()
{
    model::route_config config;
    config.version = 7;
    config.routes = {make_route("a"), make_route("b")};
    config.services["desk"].name = "desk";
    return config;
}

std::size_t count(const std::vector<config_finding>& findings, finding_kind kind,
                  const std::string& text)
{
    return static_cast<std::size_t>(std::ranges::count_if(findings, [&](const config_finding& it) {
        return it.kind == kind && (it.subject + ": " + it.message).find(text) != std::string::npos;
    }));
}

} // namespace

// Guards against findings in a configuration that is sound.
Test(config_review, sound_configuration_has_no_findings)
{
    const auto config = make_config();
    cr_assert(review_config(config).empty());
    auto next = config;
    next.version = 8;
    cr_assert(compare_configs(config, next).empty());
}

// Guards against a configuration that is sent although requests cannot be served with it.
Test(config_review, finds_errors)
{
    auto config = make_config();
    config.routes[0].services = {{"gone", 1}};
    config.routes[1].timeout = 0ms;
    config.routes.push_back(make_route("c"));
    config.routes.back().services = {{"desk", 0}, {"desk", -1}};
    config.limits.max_header_bytes = 0;
    const auto found = review_config(config);
    cr_assert(count(found, finding_kind::error, "route a: service gone is not defined") == 1);
    cr_assert(count(found, finding_kind::error, "route b: its timeout") == 1);
    cr_assert(count(found, finding_kind::error, "route c: no service gets") == 1);
    cr_assert(count(found, finding_kind::error, "route c: the weight of service desk") == 1);
    cr_assert(count(found, finding_kind::error, "limits: a limit of 0") == 1);
    cr_assert(found.front().kind == finding_kind::error && !found.front().remedy.empty());
    cr_assert(count(review_config({}), finding_kind::error, "no routes") == 1);
}

// Guards against entries that an operator takes to be in use.
Test(config_review, finds_entries_that_can_never_match)
{
    auto config = make_config();
    config.routes[1].path_prefix = "/a/";
    config.routes[1].host = "DESK.example";
    config.routes.push_back(make_route("c"));
    config.routes.back().path_prefix = "/c";
    config.routes.push_back(make_route("d"));
    config.routes.back().services.push_back({"desk", 0});
    config.services["spare"].name = "spare";
    config.has_organisations = true;
    const auto found = review_config(config);
    cr_assert(count(found, finding_kind::unreachable, "route b: it has the host") == 1);
    cr_assert(count(found, finding_kind::unreachable, "route c: no path matches") == 1);
    cr_assert(count(found, finding_kind::unreachable, "route d: service desk has weight 0") == 1);
    cr_assert(count(found, finding_kind::unreachable, "service spare: no route uses it") == 1);
    cr_assert(count(found, finding_kind::unreachable, "it needs a key") == 4);
    cr_assert(count(found, finding_kind::error, "") == 0);
}

// Guards against limits of which one makes another useless.
Test(config_review, finds_limits_that_contradict_each_other)
{
    auto config = make_config();
    config.routes[0].target_latency = 3s;
    config.routes[0].max_attempts = 2;
    config.routes[1].target_gap = 120ms;
    config.services["desk"].cold_time = 3s;
    config.services["desk"].experts = model::expert_layout{4, 64, 3, 5, {}, {}};
    config.limits.max_body_bytes = 10;
    const auto found = review_config(config);
    cr_assert(count(found, finding_kind::contradiction, "route a: the latency target of 3000") ==
              1);
    cr_assert(count(found, finding_kind::contradiction, "route a: 2 attempts") == 1);
    cr_assert(count(found, finding_kind::contradiction, "route b: it names a longest pause") == 1);
    cr_assert(count(found, finding_kind::contradiction, "service desk: its upstreams are cold") ==
              1);
    cr_assert(count(found, finding_kind::contradiction, "service desk: a rank may load 5") == 1);
    cr_assert(count(found, finding_kind::contradiction, "limits: a body may have 10") == 1);
}

// Guards against a change that its author does not see, and against keys in the output.
Test(config_review, shows_what_differs_from_the_version_in_force)
{
    const auto current = make_config();
    auto next = current;
    next.routes.erase(next.routes.begin());
    next.routes[0].priority = 3;
    next.routes[0].services = {{"other", 1}};
    next.routes.push_back(make_route("c"));
    next.services.erase("desk");
    next.services["other"].name = "other";
    next.organisations_by_key["secret"] = {"org", std::nullopt};
    next.limits.max_body_bytes = 1;
    const auto found = compare_configs(current, next);
    cr_assert(count(found, finding_kind::error, "version 7 is not above 7") == 1);
    cr_assert(count(found, finding_kind::difference, "route a: is removed") == 1);
    cr_assert(count(found, finding_kind::difference, "route b: priority 0 -> 3") == 1);
    cr_assert(count(found, finding_kind::difference, "route b: services desk:1 -> other:1") == 1);
    cr_assert(count(found, finding_kind::difference, "route c: is added") == 1);
    cr_assert(count(found, finding_kind::difference, "service desk: is removed") == 1);
    cr_assert(count(found, finding_kind::difference, "service other: is added") == 1);
    cr_assert(count(found, finding_kind::difference, "keys: 0 removed, 1 added") == 1);
    cr_assert(count(found, finding_kind::difference, "limits: ") == 1);
    cr_assert(count(found, finding_kind::difference, "secret") == 0);
}
