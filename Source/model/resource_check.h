#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "model/resource.h"

namespace medlaryoke::model {

/// An inconsistency in a set of resources.
struct resource_problem {
    std::size_t index = 0; ///< position in the list that was checked
    std::string message;   ///< states the kind, name, field and value
    std::string remedy;    ///< states what to change
};

/// Checks that a whole configuration is consistent: names are unique, references exist, orders,
/// credentials and agent addresses are unique, ranks lie within their group, and the floors of all
/// priorities sum to less than 1.
/// @param resources the configuration; no pointer is null
/// @return the problems found, in a fixed order; empty if the configuration is consistent
std::vector<resource_problem> check_resources(const std::vector<const resource*>& resources);

} // namespace medlaryoke::model
