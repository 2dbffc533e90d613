#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace medlaryoke {

/// How a scalar was written. The form determines which types the scalar can be read as.
enum class scalar_form {
    plain,   ///< unquoted YAML: text, number or boolean
    text,    ///< quoted YAML or a JSON string
    number,  ///< JSON number
    boolean, ///< JSON true or false
};

struct document_member;

/// A value of a parsed YAML or JSON document and its place in the source.
struct document_node {
    enum class node_shape { missing, scalar, sequence, mapping };

    node_shape shape = node_shape::missing;
    scalar_form form = scalar_form::plain;
    std::string scalar;
    std::string place; ///< file and line, such as `entry.yaml:12`
    std::vector<document_node> items;
    std::vector<document_member> members; ///< in the order of the document; keys are unique
};

/// A key of a mapping and its value.
struct document_member {
    std::string key;
    std::string place;
    document_node value;
};

/// Greatest nesting depth that is accepted in a document. Settings and resources use four levels.
constexpr unsigned max_document_depth = 32;

/// Throws the error for an invalid value.
/// @param place file and line of the value
/// @param path the key with its enclosing keys, such as `entry.peer_address`; may be empty
/// @param problem what is wrong, including the value
/// @param remedy one sentence that tells the reader what to do
/// @throws error of kind invalid_argument
[[noreturn]] void reject_document(std::string_view place, std::string_view path,
                                  std::string_view problem, std::string remedy);

} // namespace medlaryoke
