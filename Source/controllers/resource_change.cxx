#include "controllers/resource_change.h"

#include <charconv>
#include <cstdint>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/document_fields.h"
#include "base/error.h"
#include "base/identifiers.h"
#include "base/text_rules.h"
#include "model/json_document.h"
#include "model/resource_text.h"

namespace medlaryoke::controllers {

namespace {

constexpr std::string_view default_author = "unknown";
constexpr whole_limits version_limits{0, std::uint64_t{1} << 62U};
constexpr auto body_location = "request body"; // as named in error messages

/// Parses the value of `If-Match`, with or without quotes.
std::uint64_t parse_version(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t version = 0;
    const auto* end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, version);
    if (text.empty() || ec != std::errc{} || ptr != end) {
        throw error(error_kind::invalid_argument,
                    fmt::format("header If-Match: \"{}\" is not a version", text),
                    "Send the version that GET reports, or 0 for a resource that must not exist.");
    }
    return version;
}

/// @return the value of a header, or the default if the header is missing or empty
/// @throws error of kind invalid_argument if the value is not valid text
std::string header_or_default(const transport::http_request& request, std::string_view name,
                              std::string default_value)
{
    const auto value = transport::find_header(request.headers, name);
    if (value.empty()) {
        return default_value;
    }
    if (!obeys(text_rule::any, value)) {
        throw error(error_kind::invalid_argument,
                    fmt::format("header {} does not contain valid text", name),
                    fmt::format("Send {}.", range_of(text_rule::any)));
    }
    return std::string(value);
}

/// Parses one item of a change.
/// @param node the item as a document
/// @param raw the same item as JSON, from which the specification is copied
/// @return the item
/// @throws error of kind invalid_argument if the item is not valid
policy::change_item parse_item(const document_node& node, const nlohmann::json& raw)
{
    document_fields fields(node, "items");
    policy::change_item item;
    bool deletion = false;
    fields.text("kind", item.key.first, text_rule::any, presence::required);
    fields.text("name", item.key.second, text_rule::name, presence::required);
    fields.whole("expected_version", item.expected_version, version_limits, presence::required);
    fields.flag("deletion", deletion);
    const auto* spec = fields.find("spec", presence::optional);
    fields.finish();
    if (deletion == (spec != nullptr)) {
        reject_document(node.place, "items",
                        fmt::format("{} \"{}\" needs either a spec or a deletion", item.key.first,
                                    item.key.second),
                        "Write exactly one of the keys spec and deletion.");
    }
    if (spec != nullptr) {
        item.spec = raw.at("spec").dump();
        model::parse_spec(item.key.first, item.spec,
                          fmt::format("{} \"{}\"", item.key.first, item.key.second));
    }
    return item;
}

} // namespace

policy::config_change parse_resource_request(const transport::http_request& request,
                                             const policy::resource_key& key)
{
    policy::config_change change;
    change.author = header_or_default(request, "Medlaryoke-Author", std::string(default_author));
    change.operation_id = header_or_default(request, "Medlaryoke-Operation", make_unique_id("op"));
    policy::change_item item{key, 0, ""};
    item.expected_version = parse_version(transport::find_header(request.headers, "If-Match"));
    if (request.method == "PUT") {
        // The specification is serialised from the parsed fields, so that the record always holds
        // valid JSON.
        item.spec = model::spec_to_json(model::parse_spec(key.first, request.body, body_location));
    }
    change.items.push_back(std::move(item));
    return change;
}

policy::config_change parse_change_body(const std::string& body)
{
    const auto document = model::read_json(body, body_location);
    document_fields fields(document, "");
    policy::config_change change;
    change.author = default_author;
    change.operation_id = make_unique_id("op");
    fields.text("author", change.author, text_rule::any, presence::optional);
    fields.text("operation_id", change.operation_id, text_rule::any, presence::optional);
    const auto* items = fields.find("items", presence::required);
    fields.finish();
    if (items->shape != document_node::node_shape::sequence || items->items.empty()) {
        reject_document(body_location, "items", "is not a non-empty list",
                        "Write at least one item.");
    }
    const auto raw = nlohmann::json::parse(body);
    for (std::size_t n = 0; n < items->items.size(); ++n) {
        change.items.push_back(parse_item(items->items[n], raw.at("items").at(n)));
    }
    return change;
}

} // namespace medlaryoke::controllers
