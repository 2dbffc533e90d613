#include "policy/config_ledger.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "model/resource_check.h"
#include "model/resource_text.h"
#include "policy/bounded_json.h"

namespace medlaryoke::policy {

namespace {

using json = nlohmann::json;

std::string display_name(const resource_key& key)
{
    return fmt::format("{} \"{}\"", key.first, key.second);
}

/// Parses and checks the specification of a resource.
/// @throws error if the name or the specification is not valid
std::shared_ptr<const ledger_entry> parse_entry(const resource_key& key, const std::string& spec,
                                                std::uint64_t version, const std::string& author)
{
    model::check_resource_name(key.second);
    auto entry = std::make_shared<ledger_entry>();
    entry->value = {key.second,
                    model::parse_spec(key.first, spec, display_name(key), unknown_keys::ignore)};
    entry->version = version;
    entry->author = author;
    entry->spec = spec;
    return entry;
}

json outcome_to_json(const std::string& operation_id, const change_outcome& outcome)
{
    json object{{"id", operation_id}};
    if (const auto* accepted = std::get_if<change_accepted>(&outcome)) {
        object["accepted"] = accepted->version;
    }
    else if (const auto* conflict = std::get_if<change_conflict>(&outcome)) {
        object["conflict"] = {{"kind", conflict->key.first},
                              {"name", conflict->key.second},
                              {"expected_version", conflict->expected_version},
                              {"winning_version", conflict->winning_version},
                              {"winning_author", conflict->winning_author}};
    }
    else if (const auto* invalid = std::get_if<change_invalid>(&outcome)) {
        object["invalid"] = {{"message", invalid->message}, {"remedy", invalid->remedy}};
    }
    return object;
}

change_outcome outcome_from_json(const json& object)
{
    if (object.contains("accepted")) {
        return change_accepted{object.at("accepted").get<std::uint64_t>()};
    }
    if (object.contains("conflict")) {
        const auto& conflict = object.at("conflict");
        return change_conflict{
            {conflict.at("kind").get<std::string>(), conflict.at("name").get<std::string>()},
            conflict.at("expected_version").get<std::uint64_t>(),
            conflict.at("winning_version").get<std::uint64_t>(),
            conflict.at("winning_author").get<std::string>()};
    }
    if (object.contains("invalid")) {
        const auto& invalid = object.at("invalid");
        return change_invalid{invalid.at("message").get<std::string>(),
                              invalid.at("remedy").get<std::string>()};
    }
    return change_cancelled{};
}

resource_key key_from_json(const json& object)
{
    return {object.at("kind").get<std::string>(), object.at("name").get<std::string>()};
}

/// @return the first inconsistency; empty message if there is none
change_invalid find_inconsistency(const config_ledger::entry_map& entries)
{
    std::vector<const model::resource*> resources;
    resources.reserve(entries.size());
    std::ranges::transform(entries, std::back_inserter(resources),
                           [](const auto& it) { return &it.second->value; });
    const auto problems = model::check_resources(resources);
    return problems.empty() ? change_invalid{}
                            : change_invalid{problems.front().message, problems.front().remedy};
}

} // namespace

bool config_ledger::apply_record(std::uint64_t offset, const config_record& record)
{
    if (offset != this->offset_ + 1) {
        throw error(error_kind::internal,
                    fmt::format("the record at offset {} cannot follow the record at offset {}",
                                offset, this->offset_),
                    "Report this as a defect.");
    }
    this->offset_ = offset;
    if (const auto* change = std::get_if<config_change>(&record)) {
        return this->apply_change(offset, *change);
    }
    if (const auto* cancel = std::get_if<change_cancel>(&record)) {
        if (!this->outcomes_by_operation_.contains(cancel->operation_id)) {
            this->remember_outcome(cancel->operation_id, change_cancelled{});
        }
    }
    return false;
}

bool config_ledger::apply_change(std::uint64_t offset, const config_change& change)
{
    // An append is retried if its answer is lost, so a change may be stored twice; only the first
    // record is applied.
    if (this->outcomes_by_operation_.contains(change.operation_id)) {
        return false;
    }
    auto result = this->evaluate_at(offset, change);
    const bool accepted = std::holds_alternative<change_accepted>(result.outcome);
    this->remember_outcome(change.operation_id, std::move(result.outcome));
    if (!accepted) {
        return false;
    }
    this->entries_ = std::move(result.entries);
    for (const auto& item : change.items) {
        if (item.spec.empty()) {
            this->remember_deletion(item.key, offset, change.author);
        }
        else {
            this->deletions_.erase(item.key);
        }
    }
    return true;
}

config_ledger::evaluation config_ledger::evaluate_at(std::uint64_t offset,
                                                     const config_change& change) const
{
    std::set<resource_key> seen;
    for (const auto& item : change.items) {
        const auto it = this->entries_.find(item.key);
        const auto version = it == this->entries_.end() ? 0 : it->second->version;
        if (version != item.expected_version) {
            return {this->describe_conflict(item), {}};
        }
        if (!seen.insert(item.key).second) {
            return {change_invalid{display_name(item.key) + " is changed twice", "Keep one item."},
                    {}};
        }
    }
    evaluation result{change_accepted{offset}, this->entries_};
    for (const auto& item : change.items) {
        if (item.spec.empty()) {
            result.entries.erase(item.key);
            continue;
        }
        try {
            result.entries[item.key] = parse_entry(item.key, item.spec, offset, change.author);
        }
        catch (const error& e) {
            return {change_invalid{e.what(), e.remedy()}, {}};
        }
    }
    if (auto problem = find_inconsistency(result.entries); !problem.message.empty()) {
        return {std::move(problem), {}};
    }
    return result;
}

change_conflict config_ledger::describe_conflict(const change_item& item) const
{
    change_conflict conflict{item.key, item.expected_version, 0, ""};
    if (const auto it = this->entries_.find(item.key); it != this->entries_.end()) {
        conflict.winning_version = it->second->version;
        conflict.winning_author = it->second->author;
    }
    else if (const auto deleted = this->deletions_.find(item.key);
             deleted != this->deletions_.end()) {
        conflict.winning_version = deleted->second.version;
        conflict.winning_author = deleted->second.author;
    }
    return conflict;
}

void config_ledger::remember_outcome(const std::string& operation_id, change_outcome outcome)
{
    this->outcomes_by_operation_.emplace(operation_id, std::move(outcome));
    this->operation_ids_by_age_.push_back(operation_id);
    if (this->operation_ids_by_age_.size() > max_remembered_operations) {
        this->outcomes_by_operation_.erase(this->operation_ids_by_age_.front());
        this->operation_ids_by_age_.pop_front();
    }
}

void config_ledger::remember_deletion(const resource_key& key, std::uint64_t version,
                                      const std::string& author)
{
    this->deletions_[key] = {version, author};
    if (this->deletions_.size() > max_remembered_operations) {
        this->deletions_.erase(std::ranges::min_element(
            this->deletions_, {}, [](const auto& it) { return it.second.version; }));
    }
}

const change_outcome* config_ledger::outcome_of(const std::string& operation_id) const
{
    const auto it = this->outcomes_by_operation_.find(operation_id);
    return it == this->outcomes_by_operation_.end() ? nullptr : &it->second;
}

change_outcome config_ledger::evaluate(const config_change& change) const
{
    return this->evaluate_at(this->offset_ + 1, change).outcome;
}

std::string config_ledger::to_snapshot() const
{
    json resources = json::array();
    for (const auto& [key, entry] : this->entries_) {
        resources.push_back({{"kind", key.first},
                             {"name", key.second},
                             {"version", entry->version},
                             {"author", entry->author},
                             {"spec", json::parse(entry->spec)}});
    }
    json operations = json::array();
    std::ranges::transform(this->operation_ids_by_age_, std::back_inserter(operations),
                           [this](const auto& id) {
                               return outcome_to_json(id, this->outcomes_by_operation_.at(id));
                           });
    json deletions = json::array();
    for (const auto& [key, deleted] : this->deletions_) {
        deletions.push_back({{"kind", key.first},
                             {"name", key.second},
                             {"version", deleted.version},
                             {"author", deleted.author}});
    }
    const json object{{"upto", this->offset_},
                      {"resources", std::move(resources)},
                      {"operations", std::move(operations)},
                      {"deletions", std::move(deletions)}};
    return to_json_text(object);
}

config_ledger config_ledger::from_snapshot(std::string_view data)
{
    config_ledger ledger;
    try {
        const auto object = parse_bounded(data);
        ledger.offset_ = object.at("upto").get<std::uint64_t>();
        for (const auto& it : object.at("resources")) {
            const auto key = key_from_json(it);
            ledger.entries_[key] =
                parse_entry(key, it.at("spec").dump(), it.at("version").get<std::uint64_t>(),
                            it.at("author").get<std::string>());
        }
        for (const auto& it : object.at("operations")) {
            ledger.remember_outcome(it.at("id").get<std::string>(), outcome_from_json(it));
        }
        for (const auto& it : object.at("deletions")) {
            ledger.remember_deletion(key_from_json(it), it.at("version").get<std::uint64_t>(),
                                     it.at("author").get<std::string>());
        }
    }
    catch (const json::exception& e) {
        throw error(error_kind::invalid_argument,
                    fmt::format("the snapshot cannot be parsed: {}", e.what()),
                    "Read another snapshot, or all records of the stream.");
    }
    return ledger;
}

} // namespace medlaryoke::policy
