#pragma once

#include <string>
#include <string_view>

#include "base/document_node.h"

namespace medlaryoke::model {

/// Parses JSON into a document, so that it is checked in the same way as YAML.
/// @param text the JSON text
/// @param source where it comes from, used as the place of every value
/// @return the root value
/// @throws error of kind invalid_argument for malformed or too deeply nested text
document_node read_json(std::string_view text, const std::string& source);

} // namespace medlaryoke::model
