#include "model/json_document.h"

#include <nlohmann/json.hpp>

namespace medlaryoke::model {

namespace {

using json = nlohmann::json;

void convert_scalar(const json& value, document_node& node)
{
    node.shape = document_node::node_shape::scalar;
    if (value.is_string()) {
        node.form = scalar_form::text;
        node.scalar = value.get<std::string>();
    }
    else {
        node.form = value.is_boolean() ? scalar_form::boolean : scalar_form::number;
        node.scalar = value.dump();
    }
}

document_node to_document_node(const json& value, const std::string& source, unsigned depth)
{
    if (depth > max_document_depth) {
        reject_document(source, "", "nested too deeply", "Remove the inner levels.");
    }
    document_node node;
    node.place = source;
    if (value.is_object()) {
        node.shape = document_node::node_shape::mapping;
        for (const auto& [key, member] : value.items()) {
            node.members.push_back({key, source, to_document_node(member, source, depth + 1)});
        }
    }
    else if (value.is_array()) {
        node.shape = document_node::node_shape::sequence;
        for (const auto& item : value) {
            node.items.push_back(to_document_node(item, source, depth + 1));
        }
    }
    else if (!value.is_null()) {
        convert_scalar(value, node);
    }
    return node;
}

} // namespace

document_node read_json(std::string_view text, const std::string& source)
{
    json value;
    try {
        value = json::parse(text);
    }
    catch (const json::exception& e) {
        reject_document(source, "", e.what(), "Correct the JSON syntax.");
    }
    return to_document_node(value, source, 0);
}

} // namespace medlaryoke::model
