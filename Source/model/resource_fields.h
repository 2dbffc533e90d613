#pragma once

#include "base/field_visitor.h"
#include "model/resource.h"

namespace medlaryoke::model {

/// Visits every field of a specification.
/// @param visitor reads, writes or describes the fields
/// @param spec the specification; the alternative that it holds determines the fields
void visit_spec(field_visitor& visitor, resource_spec& spec);

} // namespace medlaryoke::model
