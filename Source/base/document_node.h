#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace medlaryoke {

/// How a scalar was written, which decides the types it can be read as.
enum class scalar_form {
    plain,   ///< unquoted YAML: text, number or boolean
    text,    ///< quoted YAML or a JSON string
    number,  ///< JSON number
    boolean, ///< JSON true or false
};

struct document_member;

/// One value of a parsed YAML or JSON document and the place where it stands.
struct document_node {
    enum class node_shape { missing, scalar, sequence, mapping };

    node_shape shape = node_shape::missing;
    scalar_form form = scalar_form::plain;
    std::string scalar;
    std::string place; ///< file and line, such as `entry.yaml:12`
    std::vector<document_node> items;
    std::vector<document_member> members; ///< in the order written; keys are unique
};

/// One key of a mapping.
struct document_member {
    std::string key;
    std::string place;
    document_node value;
};

/// Deepest nesting accepted in a document; settings and resources use four levels.
constexpr unsigned max_document_depth = 32;

/// Throws the error for a value that is refused.
/// @param place file and line
/// @param path the key with its enclosing keys, such as `entry.peer_address`; may be empty
/// @param problem what is wrong, with the value
/// @param remedy what to do
/// @throws error of kind invalid_argument
[[noreturn]] void reject_document(std::string_view place, std::string_view path,
                                  std::string_view problem, std::string remedy);

} // namespace medlaryoke
