#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::model {

/// A model served by groups of ranks that run in lock-step.
struct model_group_spec {
    std::string model;
    unsigned ranks = 1;
    unsigned experts_per_layer = 0; ///< 0: not an expert-parallel model
    unsigned layers = 0;

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

/// One back end and the agent that stands beside it.
struct upstream_spec {
    upstream_type type = upstream_type::engine;
    std::string serves; ///< name of a model group, or of a service
    std::string agent;  ///< IP address and port of the agent's message channel
    std::string data_centre;
    std::optional<unsigned> rank; ///< position in a lock-step group
    bool checks_fences = false;
    std::vector<repeatable_call> repeatable;
    upstream_state state = upstream_state::active;

    bool operator==(const upstream_spec&) const = default;
};

/// An urgency class with its targets.
struct priority_spec {
    unsigned order = 0; ///< 0 is the most urgent
    duration first_token_target{};
    duration token_interval_target{};
    double attainment = 0.95; ///< part of the requests that must meet the targets, 0 to 1
    double worth = 1;         ///< value of one answer in time, relative to the other priorities
    double floor = 0;         ///< part of capacity guaranteed under any flood, 0 to 1

    bool operator==(const priority_spec&) const = default;
};

/// A caller and its share.
struct caller_spec {
    std::string organisation;
    std::string credential_sha256; ///< 64 hexadecimal digits
    double share = 1;
    std::vector<std::string> priorities; ///< names of priorities the caller may use

    bool operator==(const caller_spec&) const = default;
};

using resource_spec = std::variant<model_group_spec, upstream_spec, priority_spec, caller_spec>;

/// A declared resource.
struct resource {
    std::string name;
    resource_spec spec;

    bool operator==(const resource&) const = default;
};

/// @param spec a resource's content
/// @return the kind as written in files and paths: model_group, upstream, priority or caller
std::string_view kind_of(const resource_spec& spec);

} // namespace medlaryoke::model
