#include "policy/config_review.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace medlaryoke::policy {

namespace {

std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::string lower_case(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return text;
}

std::string subject_of(const model::route& route)
{
    return route.name.empty() ? fmt::format("route {}{}", route.host, route.path_prefix)
                              : fmt::format("route {}", route.name);
}

/// Collects the findings of one configuration.
class reviewer {
public:
    explicit reviewer(const model::route_config& config) : config_(config) {}

    std::vector<config_finding> run()
    {
        if (this->config_.routes.empty()) {
            this->add(finding_kind::error, "configuration", "it has no routes",
                      "Add the routes that are to be served.");
        }
        for (const auto& route : this->config_.routes) {
            this->check_match(route);
            this->check_services(route);
            this->check_times(route);
            this->check_keys(route);
        }
        for (const auto& [name, service] : this->config_.services) {
            this->check_service(service);
        }
        this->check_limits();
        std::ranges::stable_sort(this->findings_, {}, &config_finding::kind);
        return std::move(this->findings_);
    }

private:
    void add(finding_kind kind, std::string subject, std::string message, std::string remedy)
    {
        this->findings_.push_back(
            {kind, std::move(subject), std::move(message), std::move(remedy)});
    }

    void check_match(const model::route& route)
    {
        const auto subject = subject_of(route);
        const auto& prefix = route.path_prefix;
        if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
            this->add(finding_kind::unreachable, subject,
                      fmt::format("no path matches the prefix {}", prefix),
                      "Begin and end the prefix with a slash.");
        }
        if (!route.name.empty() && !this->names_.insert(route.name).second) {
            this->add(finding_kind::error, subject, "another route has the same name",
                      "Give each route a name of its own.");
        }
        const auto [known, is_new] =
            this->matches_.try_emplace({lower_case(route.host), prefix}, subject);
        if (!is_new) {
            this->add(finding_kind::unreachable, subject,
                      fmt::format("it has the host and the prefix of {}", known->second),
                      "Remove one of the two, or change its prefix.");
        }
    }

    void check_services(const model::route& route)
    {
        const auto subject = subject_of(route);
        double total = 0;
        for (const auto& share : route.services) {
            total += std::max(share.weight, 0.0);
            this->used_.insert(share.service);
            if (!this->config_.services.contains(share.service)) {
                this->add(finding_kind::error, subject,
                          fmt::format("service {} is not defined", share.service),
                          "Define the service, or name another one.");
            }
            if (share.weight < 0) {
                this->add(finding_kind::error, subject,
                          fmt::format("the weight of service {} is negative", share.service),
                          "Set it to 0 or more.");
            }
            else if (share.weight == 0 && route.services.size() > 1) {
                this->add(
                    finding_kind::unreachable, subject,
                    fmt::format("service {} has weight 0 and gets no requests", share.service),
                    "Remove it from the split, or raise its weight.");
            }
        }
        if (route.services.empty() || (route.services.size() > 1 && total <= 0)) {
            this->add(finding_kind::error, subject, "no service gets its requests",
                      "Name a service with a weight above 0.");
        }
    }

    void check_times(const model::route& route)
    {
        const auto subject = subject_of(route);
        if (route.timeout <= duration::zero()) {
            this->add(finding_kind::error, subject, "its timeout is not positive",
                      "Set the timeout to the longest time that a caller may wait.");
            return;
        }
        if (route.target_latency > route.timeout) {
            this->add(finding_kind::contradiction, subject,
                      fmt::format("the latency target of {} ms lies beyond the timeout of {} ms",
                                  to_milliseconds(route.target_latency),
                                  to_milliseconds(route.timeout)),
                      "Raise the timeout or lower the target.");
        }
        if (route.target_gap > route.timeout) {
            this->add(finding_kind::contradiction, subject,
                      fmt::format("the longest pause of {} ms lies beyond the timeout of {} ms",
                                  to_milliseconds(route.target_gap),
                                  to_milliseconds(route.timeout)),
                      "Raise the timeout or lower the pause.");
        }
        if (route.target_gap > duration::zero() && !route.is_stream) {
            this->add(finding_kind::contradiction, subject,
                      "it names a longest pause, but its answers are no streams",
                      "Make it a streaming route, or remove the pause.");
        }
        if (route.max_attempts > 1 && route.repeat == model::repeat_rule::unsafe) {
            this->add(finding_kind::contradiction, subject,
                      fmt::format("{} attempts are allowed, but its requests run at most once",
                                  route.max_attempts),
                      "Set one attempt, or state that its requests may be repeated.");
        }
    }

    void check_keys(const model::route& route)
    {
        if (this->config_.has_organisations && !route.is_public &&
            this->config_.organisations_by_key.empty()) {
            this->add(finding_kind::unreachable, subject_of(route),
                      "it needs a key, but no organisation has one",
                      "Add keys, or make the route public.");
        }
    }

    void check_service(const model::routed_service& service)
    {
        const auto subject = fmt::format("service {}", service.name);
        if (!this->used_.contains(service.name)) {
            this->add(finding_kind::unreachable, subject, "no route uses it",
                      "Remove it, or send a route to it.");
        }
        if (service.cold_time > duration::zero() && service.cold_requests_per_second <= 0) {
            this->add(finding_kind::contradiction, subject,
                      "its upstreams are cold after a start, but bear any number of requests",
                      "State how many requests a second a cold upstream bears.");
        }
        if (service.experts && service.experts->spare > service.experts->placements) {
            this->add(finding_kind::contradiction, subject,
                      fmt::format("a rank may load {} experts for a switch, but hold {}",
                                  service.experts->spare, service.experts->placements),
                      "Lower the number of experts to load.");
        }
    }

    void check_limits()
    {
        const auto& limits = this->config_.limits;
        if (limits.max_header_bytes == 0 || limits.header_timeout <= duration::zero() ||
            limits.idle_timeout <= duration::zero()) {
            this->add(finding_kind::error, "limits", "a limit of 0 refuses every request",
                      "Set it to what callers need.");
        }
        if (limits.max_body_bytes < limits.max_header_bytes) {
            this->add(finding_kind::contradiction, "limits",
                      fmt::format("a body may have {} bytes, a head {}", limits.max_body_bytes,
                                  limits.max_header_bytes),
                      "Raise the limit of the body.");
        }
    }

    const model::route_config& config_;
    std::vector<config_finding> findings_;
    std::set<std::string> names_;
    std::map<std::pair<std::string, std::string>, std::string> matches_; ///< by host and prefix
    std::set<std::string> used_;                                         ///< services of routes
};

/// @return what callers or operators can tell apart in two versions of a route
std::vector<std::string> changes_of(const model::route& before, const model::route& after)
{
    std::vector<std::string> changes;
    const auto add = [&changes](std::string_view what, const auto& old, const auto& next) {
        if (old != next) {
            changes.push_back(fmt::format("{} {} -> {}", what, old, next));
        }
    };
    const auto split = [](const model::route& route) {
        std::string text;
        for (const auto& share : route.services) {
            text += fmt::format("{}{}:{}", text.empty() ? "" : ",", share.service, share.weight);
        }
        return text;
    };
    const auto repeats = [](const model::route& route) { return static_cast<int>(route.repeat); };
    add("host", before.host, after.host);
    add("prefix", before.path_prefix, after.path_prefix);
    add("services", split(before), split(after));
    add("timeout ms", to_milliseconds(before.timeout), to_milliseconds(after.timeout));
    add("latency target ms", to_milliseconds(before.target_latency),
        to_milliseconds(after.target_latency));
    add("longest pause ms", to_milliseconds(before.target_gap), to_milliseconds(after.target_gap));
    add("priority", before.priority, after.priority);
    add("attempts", before.max_attempts, after.max_attempts);
    add("public", before.is_public, after.is_public);
    add("stream", before.is_stream, after.is_stream);
    if (repeats(before) != repeats(after)) {
        changes.emplace_back("whether its requests may be repeated");
    }
    return changes;
}

std::map<std::string, const model::route*> by_subject(const model::route_config& config)
{
    std::map<std::string, const model::route*> routes;
    for (const auto& route : config.routes) {
        routes.emplace(subject_of(route), &route);
    }
    return routes;
}

} // namespace

std::vector<config_finding> review_config(const model::route_config& config)
{
    return reviewer(config).run();
}

std::vector<config_finding> compare_configs(const model::route_config& current,
                                            const model::route_config& next)
{
    std::vector<config_finding> findings;
    const auto add = [&findings](std::string subject, std::string message) {
        findings.push_back(
            {finding_kind::difference, std::move(subject), std::move(message), std::string()});
    };
    if (next.version <= current.version) {
        findings.push_back({finding_kind::error, "configuration",
                            fmt::format("version {} is not above {}, which is in force",
                                        next.version, current.version),
                            "Raise the version; gateways ignore it otherwise."});
    }
    const auto before = by_subject(current);
    const auto after = by_subject(next);
    for (const auto& [subject, route] : before) {
        const auto found = after.find(subject);
        if (found == after.end()) {
            add(subject, "is removed");
            continue;
        }
        for (const auto& change : changes_of(*route, *found->second)) {
            add(subject, change);
        }
    }
    for (const auto& [subject, route] : after) {
        if (!before.contains(subject)) {
            add(subject, fmt::format("is added, {}{}", route->host, route->path_prefix));
        }
    }
    for (const auto& [name, service] : current.services) {
        if (!next.services.contains(name)) {
            add(fmt::format("service {}", name), "is removed");
        }
    }
    for (const auto& [name, service] : next.services) {
        if (!current.services.contains(name)) {
            add(fmt::format("service {}", name), "is added");
        }
    }
    if (current.limits != next.limits) {
        add("limits", fmt::format("head {} -> {} bytes, body {} -> {} bytes",
                                  current.limits.max_header_bytes, next.limits.max_header_bytes,
                                  current.limits.max_body_bytes, next.limits.max_body_bytes));
    }
    const auto without = [](const auto& keys, const auto& others) {
        return std::ranges::count_if(
            keys, [&others](const auto& it) { return !others.contains(it.first); });
    };
    const auto removed = without(current.organisations_by_key, next.organisations_by_key);
    const auto added = without(next.organisations_by_key, current.organisations_by_key);
    if (removed + added > 0) {
        add("keys", fmt::format("{} removed, {} added", removed, added));
    }
    return findings;
}

std::string_view to_string(finding_kind kind)
{
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::unreachable:
        return "unreachable";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::difference:
        return "difference";
    }
    return "unknown";
}

} // namespace medlaryoke::policy
