#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "base/json_text.h"
#include "policy/bounded_json.h"
#include "policy/config_ledger.h"

namespace medlaryoke::policy {

namespace {

using json = nlohmann::json;

json item_to_json(const change_item& item)
{
    json object{{"kind", item.key.first},
                {"name", item.key.second},
                {"expected_version", item.expected_version}};
    if (item.spec.empty()) {
        object["deletion"] = true;
    }
    else {
        object["spec"] = json::parse(item.spec);
    }
    return object;
}

change_item item_from_json(const json& object)
{
    change_item item;
    item.key.first = object.at("kind").get<std::string>();
    item.key.second = object.at("name").get<std::string>();
    const auto& version = object.at("expected_version");
    if (!version.is_number_unsigned()) {
        throw json::other_error::create(501, "expected_version is not a non-negative integer",
                                        &object);
    }
    item.expected_version = version.get<std::uint64_t>();
    if (object.contains("deletion") == object.contains("spec")) {
        throw json::other_error::create(501, "an item must have either spec or deletion", &object);
    }
    if (object.contains("spec")) {
        item.spec = object.at("spec").dump();
    }
    return item;
}

config_change change_from_json(const json& object)
{
    config_change change{.operation_id = object.at("operation_id").get<std::string>(),
                         .author = object.at("author").get<std::string>(),
                         .items = {}};
    const auto& items = object.at("items");
    if (!items.is_array() || items.empty()) {
        throw json::other_error::create(501, "items is not a non-empty array", &object);
    }
    std::ranges::transform(items, std::back_inserter(change.items), item_from_json);
    return change;
}

snapshot_chunk chunk_from_json(const json& object)
{
    return {.snapshot_id = object.at("snapshot_id").get<std::string>(),
            .upto = object.at("upto").get<std::uint64_t>(),
            .index = object.at("index").get<std::uint64_t>(),
            .count = object.at("count").get<std::uint64_t>(),
            .data = object.at("data").get<std::string>()};
}

} // namespace

std::string encode_record(const config_change& record)
{
    json items = json::array();
    std::ranges::transform(record.items, std::back_inserter(items), item_to_json);
    const json object{{"config_change",
                       {{"operation_id", record.operation_id},
                        {"author", record.author},
                        {"items", std::move(items)}}}};
    return to_json_text(object);
}

std::string encode_record(const change_cancel& record)
{
    const json object{{"config_cancel", {{"operation_id", record.operation_id}}}};
    return to_json_text(object);
}

std::string encode_record(const snapshot_chunk& record)
{
    const json object{{"config_snapshot",
                       {{"snapshot_id", record.snapshot_id},
                        {"upto", record.upto},
                        {"index", record.index},
                        {"count", record.count},
                        {"data", record.data}}}};
    return to_json_text(object);
}

config_record decode_record(std::string_view data)
{
    try {
        const auto object = parse_bounded(data);
        if (object.contains("config_change")) {
            return change_from_json(object.at("config_change"));
        }
        if (object.contains("config_cancel")) {
            return change_cancel{object.at("config_cancel").at("operation_id").get<std::string>()};
        }
        if (object.contains("config_snapshot")) {
            return chunk_from_json(object.at("config_snapshot"));
        }
        return damaged_record{
            "the record is neither a change, a cancellation nor a snapshot chunk"};
    }
    catch (const json::exception& e) {
        return damaged_record{e.what()};
    }
}

} // namespace medlaryoke::policy
