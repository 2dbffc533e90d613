#include "policy/handover_ledger.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"
#include "policy/bounded_json.h"

namespace medlaryoke::policy {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 6> action_names{"offer",  "withdraw", "start",
                                                       "return", "complete", "cancel"};
constexpr std::array<std::string_view, 4> state_names{"with_old", "offered", "started",
                                                      "completed"};

handover_work make_completed(const handover_work& before, std::uint64_t offset,
                             const handover_record& record)
{
    auto after = before;
    after.state = work_state::completed;
    after.owner = record.by;
    after.version = offset;
    after.content = record.content;
    return after;
}

} // namespace

std::string_view to_string(handover_action action)
{
    return action_names.at(static_cast<std::size_t>(action));
}

std::optional<handover_action> parse_handover_action(std::string_view name)
{
    const auto* it = std::ranges::find(action_names, name);
    if (it == action_names.end()) {
        return std::nullopt;
    }
    return static_cast<handover_action>(it - action_names.begin());
}

std::string_view to_string(work_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::string encode_record(const handover_record& record)
{
    json object{{"operation_id", record.operation_id},
                {"work_id", record.work_id},
                {"action", to_string(record.action)},
                {"by", record.by == work_owner::old_router ? "old" : "new"}};
    if (!record.content.empty()) {
        object["content"] = json::parse(record.content);
    }
    if (!record.runner.empty()) {
        object["runner"] = record.runner;
        object["previous_start"] = record.previous_start;
    }
    const json outer{{"handover", std::move(object)}};
    return to_json_text(outer);
}

std::optional<handover_record> decode_handover(std::string_view data)
{
    try {
        const auto outer = parse_bounded(data);
        const auto& object = outer.at("handover");
        const auto action = parse_handover_action(object.at("action").get<std::string>());
        const auto by = object.at("by").get<std::string>();
        if (!action || (by != "old" && by != "new")) {
            return std::nullopt;
        }
        handover_record record;
        record.operation_id = object.at("operation_id").get<std::string>();
        record.work_id = object.at("work_id").get<std::string>();
        record.action = *action;
        record.by = by == "old" ? work_owner::old_router : work_owner::new_router;
        record.runner = object.value("runner", std::string());
        record.previous_start = object.value("previous_start", std::uint64_t{0});
        if (object.contains("content")) {
            record.content = object.at("content").dump();
        }
        return record;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<handover_work> handover_ledger::next_state(const handover_work& before,
                                                         std::uint64_t offset,
                                                         const handover_record& record)
{
    auto after = before;
    after.version = offset;
    const bool is_from_owner = record.by == before.owner;
    switch (record.action) {
    case handover_action::offer:
        if (before.state != work_state::with_old || record.by != work_owner::old_router) {
            return std::nullopt;
        }
        return handover_work{
            work_owner::new_router, work_state::offered, offset, record.content, "", 0, 0};
    case handover_action::withdraw:
        if (before.state != work_state::offered || record.by != work_owner::old_router) {
            return std::nullopt;
        }
        return handover_work{work_owner::old_router, work_state::with_old, offset, "", "", 0, 0};
    case handover_action::start:
        if (!is_from_owner || record.runner.empty() ||
            (before.state != work_state::offered && before.state != work_state::started) ||
            record.previous_start != before.start_offset) {
            return std::nullopt;
        }
        after.state = work_state::started;
        after.runner = record.runner;
        after.start_offset = offset;
        ++after.starts;
        return after;
    case handover_action::give_back: {
        // After a second start the first runner may have run the work item without reporting it.
        const bool not_run = before.state == work_state::offered ||
                             (before.state == work_state::started && before.starts == 1 &&
                              before.runner == record.runner);
        if (!is_from_owner || !not_run) {
            return std::nullopt;
        }
        return handover_work{work_owner::old_router, work_state::with_old, offset, "", "", 0, 0};
    }
    case handover_action::complete: {
        const bool may_have_run =
            before.state == work_state::started || before.state == work_state::with_old;
        if (!is_from_owner || !may_have_run) {
            return std::nullopt;
        }
        return make_completed(before, offset, record);
    }
    case handover_action::cancel:
        break;
    }
    return std::nullopt;
}

void handover_ledger::apply_record(std::uint64_t offset,
                                   const std::optional<handover_record>& record)
{
    if (offset <= this->offset_) {
        throw error(error_kind::internal,
                    fmt::format("the record at offset {} cannot follow the record at offset {}",
                                offset, this->offset_),
                    "Report this as a defect.");
    }
    this->offset_ = offset;
    if (!record || this->outcomes_by_operation_.contains(record->operation_id)) {
        return;
    }
    if (record->action == handover_action::cancel) {
        this->remember_outcome(record->operation_id, handover_cancelled{});
        return;
    }
    const auto it = this->work_.find(record->work_id);
    const auto before = it == this->work_.end() ? handover_work{} : it->second;
    const auto after = next_state(before, offset, *record);
    if (!after) {
        this->remember_outcome(record->operation_id,
                               handover_refused{before.owner, before.state, before.version});
        return;
    }
    this->work_[record->work_id] = *after;
    this->remember_outcome(record->operation_id,
                           handover_accepted{offset, after->owner, after->state});
    if (after->state == work_state::completed || after->state == work_state::with_old) {
        this->remember_closed_work(record->work_id, offset);
    }
}

void handover_ledger::remember_closed_work(const std::string& work_id, std::uint64_t version)
{
    this->closed_work_by_age_.emplace_back(work_id, version);
    if (this->closed_work_by_age_.size() <= max_remembered_closed_work) {
        return;
    }
    const auto [id, closed_at] = this->closed_work_by_age_.front();
    this->closed_work_by_age_.pop_front();
    const auto it = this->work_.find(id);
    if (it != this->work_.end() && it->second.version == closed_at) {
        this->work_.erase(it);
    }
}

void handover_ledger::skip_to(std::uint64_t offset)
{
    this->offset_ = std::max(this->offset_, offset);
}

handover_outcome handover_ledger::evaluate(const handover_record& record) const
{
    const auto* known = this->find(record.work_id);
    const auto before = known == nullptr ? handover_work{} : *known;
    const auto after = next_state(before, this->offset_ + 1, record);
    if (!after) {
        return handover_refused{before.owner, before.state, before.version};
    }
    return handover_accepted{after->version, after->owner, after->state};
}

const handover_outcome* handover_ledger::outcome_of(const std::string& operation_id) const
{
    const auto it = this->outcomes_by_operation_.find(operation_id);
    return it == this->outcomes_by_operation_.end() ? nullptr : &it->second;
}

const handover_work* handover_ledger::find(const std::string& work_id) const
{
    const auto it = this->work_.find(work_id);
    return it == this->work_.end() ? nullptr : &it->second;
}

std::vector<std::string> handover_ledger::open_work() const
{
    std::vector<std::string> ids;
    for (const auto& [id, item] : this->work_) {
        if (item.state == work_state::offered || item.state == work_state::started) {
            ids.push_back(id);
        }
    }
    return ids;
}

void handover_ledger::remember_outcome(const std::string& operation_id,
                                       const handover_outcome& outcome)
{
    this->outcomes_by_operation_.emplace(operation_id, outcome);
    this->operation_ids_by_age_.push_back(operation_id);
    if (this->operation_ids_by_age_.size() > max_remembered_operations) {
        this->outcomes_by_operation_.erase(this->operation_ids_by_age_.front());
        this->operation_ids_by_age_.pop_front();
    }
}

} // namespace medlaryoke::policy
