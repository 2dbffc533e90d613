#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::model {

/// What may be repeated of a request.
enum class repeat_rule {
    safe,      ///< may run any number of times
    unsafe,    ///< runs at most once
    resumable, ///< a stream that another upstream may go on with after the last event received
};

/// One of the services that a route divides its requests among.
struct service_share {
    std::string service;
    double weight = 1;
};

/// Where requests for a host and a path go, and how they are treated.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    repeat_rule repeat = repeat_rule::unsafe;
    bool is_stream = false;    ///< the answer is a series of events
    bool is_public = false;    ///< needs no key
    duration timeout{};        ///< longest time that a request is kept waiting
    duration target_latency{}; ///< to the whole answer, or to the first event of a stream
    duration target_gap{};     ///< longest pause between events that is still on time; zero: none
    unsigned priority = 0;     ///< 0 is the most urgent
    unsigned max_attempts = 1; ///< upstreams that may run one request
    std::vector<service_share> services;
};

/// How an engine's pass time grows with its work. All zero for plain services.
struct engine_pace {
    duration step{};              ///< a token step of an empty batch
    duration step_per_sequence{}; ///< more for each request that writes
    double read_tokens_per_second = 0;
    unsigned steps_per_pass = 0;
    unsigned chunk = 0;        ///< prompt tokens that an engine reads at most in a step
    unsigned usual_prompt = 0; ///< mean tokens of a prompt
    unsigned usual_answer = 0; ///< mean tokens of an answer
};

/// How the engines of a service hold experts.
struct expert_layout {
    unsigned sets = 0;       ///< of layers that are placed alike
    unsigned experts = 0;    ///< in each set
    unsigned placements = 0; ///< experts that a rank holds at most, in each set
    unsigned spare = 0;      ///< experts that a rank can take in for one switch, in each set
    duration report_lag{};   ///< age of a report that is read from another machine
    duration copy_time{};    ///< in which a rank copies one expert; zero: unknown
};

/// A group of upstreams that serve the same requests.
struct routed_service {
    std::string name;
    std::size_t max_connections = 0; ///< an upstream accepts from all callers together; 0: unknown
    std::optional<engine_pace> engine;
    std::optional<expert_layout> experts; ///< of engines in lock-step groups
};

/// Bounds on what callers may send.
struct caller_limits {
    std::size_t max_header_bytes = 16U * 1024U;
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

struct organisation {
    std::string name;
    std::optional<unsigned> priority; ///< compared before that of the route; 0 is the most urgent
};

/// One version of the configuration of routes, whole.
struct route_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, routed_service, std::less<>> services;
    bool has_organisations = false; ///< false: no request needs a key
    std::unordered_map<std::string, organisation> organisations_by_key;
    caller_limits limits;
};

/// Finds routes by host and longest path prefix.
class route_table {
public:
    /// @param routes the routes; must outlive the table
    explicit route_table(const std::vector<route>& routes);

    /// @param host value of the Host header, with or without a port; case does not matter
    /// @param path path of the target, without its query
    /// @return the route with the longest prefix that begins the path; null if there is none
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    using prefix_map = std::unordered_map<std::string, const route*>;
    std::unordered_map<std::string, prefix_map> hosts_;
};

} // namespace medlaryoke::model
