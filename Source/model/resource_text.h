#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/document_fields.h"
#include "base/field_descriptions.h"
#include "model/resource.h"

namespace medlaryoke::model {

/// A resource and the place of its declaration.
struct declared_resource {
    resource value;
    std::string place; ///< file and line
};

/// Parses the resources of a YAML stream. Each document has the keys kind, name and spec.
/// @param text the stream
/// @param source name of the file, for error messages
/// @return the resources in the order of the stream
/// @throws error of kind invalid_argument that names file, line, value and remedy
std::vector<declared_resource> parse_resources(const std::string& text, const std::string& source);

/// Parses a specification from JSON.
/// @param kind the resource's kind
/// @param text a JSON object
/// @param source origin of the text, such as `request body`, for error messages
/// @param unknown whether unknown keys are refused; records written by a newer release
/// may have keys that this release ignores
/// @return the specification
/// @throws error of kind invalid_argument that names source, value and remedy
resource_spec parse_spec(std::string_view kind, std::string_view text, const std::string& source,
                         unknown_keys unknown = unknown_keys::refuse);

/// @param spec a specification
/// @return a JSON object with every key that has a value; equal specifications give equal text
std::string spec_to_json(const resource_spec& spec);

/// @param value a resource
/// @return a YAML document that parse_resources() accepts
std::string resource_to_yaml(const resource& value);

/// Checks the name of a resource.
/// @throws error of kind invalid_argument if the name is empty, too long or has a character
/// that is not allowed
void check_resource_name(std::string_view name);

/// @return the kinds in the order model_group, upstream, priority, caller
const std::vector<std::string>& resource_kinds();

/// @param kind one of resource_kinds()
/// @return a description of each key of the kind's specification, for the manual
/// @throws error of kind invalid_argument for an unknown kind
std::vector<field_description> resource_keys(std::string_view kind);

} // namespace medlaryoke::model
