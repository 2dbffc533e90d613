#pragma once

#include <string>
#include <vector>

#include "model/route_config.h"

namespace medlaryoke::policy {

/// What a finding of a configuration review means.
enum class finding_kind {
    error,         ///< the configuration does not do what it says; it must not be sent
    unreachable,   ///< an entry that can never match or is never used
    contradiction, ///< limits of which one makes another useless
    difference,    ///< what differs from the configuration in force
};

/// One finding.
struct config_finding {
    finding_kind kind = finding_kind::error;
    std::string subject; ///< the entry, such as `route r-1`
    std::string message; ///< what was found
    std::string remedy;  ///< what to do; empty for differences
};

/// Reviews a configuration before it is sent.
/// @param config a configuration that could be decoded
/// @return the findings, errors first
std::vector<config_finding> review_config(const model::route_config& config);

/// Compares a configuration with the one in force.
/// @param current the configuration in force
/// @param next the one that is to replace it
/// @return an error if the version does not rise, and the differences; keys are counted, not named
std::vector<config_finding> compare_configs(const model::route_config& current,
                                            const model::route_config& next);

/// @return a word for the kind
std::string_view to_string(finding_kind kind);

} // namespace medlaryoke::policy
