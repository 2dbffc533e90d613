#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::model {

/// A model served by a group of ranks that run each step in lock-step.
struct model_group_spec {
    std::string model;
    unsigned ranks = 1;
    unsigned experts_per_layer = 0; ///< 0: not an expert-parallel model
    unsigned layers = 0;            ///< number of layers that have experts

    bool operator==(const model_group_spec&) const = default;
};

enum class upstream_type { engine, service };
enum class upstream_state { active, leaving };

/// A method and path prefix whose calls may be repeated.
struct repeatable_call {
    std::string method;
    std::string path_prefix;

    bool operator==(const repeatable_call&) const = default;
};

/// A back end and the agent that runs beside it.
struct upstream_spec {
    upstream_type type = upstream_type::engine;
    std::string serves; ///< name of a model group or of a service
    std::string agent;  ///< IP address and port of the agent's message channel
    std::string data_centre;
    std::optional<unsigned> rank; ///< rank within the model group, from 0
    bool checks_fences = false;   ///< the upstream rejects calls with an outdated fencing token
    std::vector<repeatable_call> repeatable;
    upstream_state state = upstream_state::active;

    bool operator==(const upstream_spec&) const = default;
};

/// A priority class with its latency targets.
struct priority_spec {
    unsigned order = 0; ///< 0 is the most urgent
    duration first_token_target{};
    duration token_interval_target{};
    double attainment = 0.95; ///< fraction of the requests that must meet the targets, 0 to 1
    double worth = 1; ///< value of an answer within its targets, relative to other priorities
    double floor = 0; ///< fraction of the capacity that is always guaranteed, 0 to 1

    bool operator==(const priority_spec&) const = default;
};

/// A caller with its credential, its fair share and the priorities it may use.
struct caller_spec {
    std::string organisation;
    std::string credential_sha256;       ///< 64 hexadecimal digits
    double share = 1;                    ///< weight relative to other callers
    std::vector<std::string> priorities; ///< names of the priorities that the caller may use

    bool operator==(const caller_spec&) const = default;
};

using resource_spec = std::variant<model_group_spec, upstream_spec, priority_spec, caller_spec>;

/// A named resource of the configuration.
struct resource {
    std::string name;
    resource_spec spec;

    bool operator==(const resource&) const = default;
};

/// @param spec the specification of a resource
/// @return the kind as written in files and URL paths: model_group, upstream, priority or caller
std::string_view kind_of(const resource_spec& spec);

} // namespace medlaryoke::model
