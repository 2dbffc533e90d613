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

/// Whether a request may be retried after an attempt whose outcome is unknown.
enum class repeat_rule {
    safe,      ///< the request may run any number of times
    unsafe,    ///< the request runs at most once
    resumable, ///< another upstream may continue the stream after the last event received
};

/// A service that receives a weighted share of a route's requests.
struct service_share {
    std::string service;
    double weight = 1; ///< relative to the other services of the route
};

/// Maps requests for a host and a path prefix to services and sets how they are handled.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;                  ///< begins and ends with a slash
    repeat_rule repeat = repeat_rule::unsafe; ///< whether a request may be retried
    bool is_stream = false;                   ///< the answer is a stream of events
    bool is_public = false;                   ///< requests need no API key
    duration timeout{};                       ///< longest time that a request waits for its answer
    duration target_latency{}; ///< until the whole answer, or until the first event of a stream
    duration target_gap{};     ///< longest interval between events on time; zero: no target
    unsigned priority = 0;     ///< 0 is the most urgent
    unsigned max_attempts = 1; ///< most attempts that may run one request
    std::vector<service_share> services;
};

/// Timing of an engine, from which the duration of its steps is predicted. A step of the engine
/// consists of several token steps. All members are zero for services without an engine.
struct engine_pace {
    duration step{};                         ///< duration of a token step with an empty batch
    duration token_step_time_per_sequence{}; ///< additional duration for each request that
                                             ///< generates tokens
    double prefill_tokens_per_second = 0;    ///< rate at which prompts are processed (prefill)
    unsigned token_steps_per_step = 0;       ///< token steps in a step of the engine
    unsigned chunk = 0;            ///< most prompt tokens that an engine processes in a token step
    double mean_prompt_tokens = 0; ///< mean number of tokens in a prompt
    double mean_answer_tokens = 0; ///< mean number of tokens in an answer
};

/// Placement limits and timing of the experts that the engines of a service hold.
struct expert_layout {
    unsigned sets = 0;       ///< number of sets; the layers of a set share one placement
    unsigned experts = 0;    ///< number of experts in each set
    unsigned placements = 0; ///< most experts that a rank holds, in each set
    unsigned spare = 0;      ///< most experts that a rank can load for one map switch, in each set
    duration report_lag{};   ///< age of a report that is read from another instance
    duration copy_time{};    ///< time that a rank takes to copy one expert; zero: unknown
};

/// A group of upstreams that serve the same requests.
struct routed_service {
    std::string name;
    std::size_t max_connections = 0;     ///< limit of an upstream over all its clients; 0: unknown
    double cold_requests_per_second = 0; ///< what a cold upstream bears; 0: no limit
    duration cold_time{};                ///< how long an upstream is cold after its start
    std::optional<engine_pace> engine;
    std::optional<expert_layout> experts; ///< set for engines in lock-step groups
};

/// Limits on the size and the timing of callers' requests.
struct caller_limits {
    std::size_t max_header_bytes = 16U * 1024U;
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

/// An organisation that owns API keys.
struct organisation {
    std::string name;
    std::optional<unsigned> priority; ///< compared before the route's; 0 is the most urgent
};

/// A complete version of the routing configuration.
struct route_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, routed_service, std::less<>> services;
    bool has_organisations = false; ///< false: no request needs an API key
    std::unordered_map<std::string, organisation> organisations_by_key;
    caller_limits limits;
};

/// Finds the route of a request by its host and the longest matching path prefix.
class route_table {
public:
    /// @param routes the routes; must outlive the table
    explicit route_table(const std::vector<route>& routes);

    /// @param host value of the Host header, with or without a port; case does not matter
    /// @param path path of the request target, without the query
    /// @return the route with the longest prefix of the path; null if no prefix matches
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    using prefix_map = std::unordered_map<std::string, const route*>;
    std::unordered_map<std::string, prefix_map> hosts_;
};

} // namespace medlaryoke::model
