#pragma once

#include <string>
#include <string_view>

#include "base/document_node.h"

namespace medlaryoke::model {

/// Parses JSON into a document tree, so that it goes through the same checks as YAML.
/// @param text the JSON text
/// @param source origin of the text, used as the place of every value in error messages
/// @return the root node
/// @throws error of kind invalid_argument for malformed or too deeply nested text
document_node read_json(std::string_view text, const std::string& source);

} // namespace medlaryoke::model
