#include "policy/keyed_topic.h"

#include <algorithm>
#include <set>
#include <utility>

namespace medlaryoke::policy {

std::vector<keyed_record> keyed_topic::apply_listing(const std::vector<keyed_record>& records,
                                                     log_position end)
{
    if (end.epoch != this->epoch_) {
        return this->replace_values(records, end);
    }
    const auto end_offset = end.offset;
    std::vector<keyed_record> changes;
    std::set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.key);
        const auto known = this->values_.find(record.key);
        if (known != this->values_.end() && known->second.offset >= record.offset) {
            this->ignored_records_ += known->second.value != record.value ? 1 : 0;
            continue;
        }
        // The listing is older than the applied records, one of which removed the key.
        if (known == this->values_.end() && (record.offset < this->next_offset_) &&
            (this->next_offset_ > end_offset)) {
            continue;
        }
        this->values_[record.key] = {record.value, record.offset};
        changes.push_back(record);
    }
    for (auto it = this->values_.begin(); it != this->values_.end();) {
        if (listed.contains(it->first) || it->second.offset >= end_offset) {
            ++it;
            continue;
        }
        changes.push_back({it->first, {}, end_offset});
        it = this->values_.erase(it);
    }
    this->next_offset_ = std::max(this->next_offset_, end_offset);
    return changes;
}

std::vector<keyed_record> keyed_topic::replace_values(const std::vector<keyed_record>& records,
                                                      log_position end)
{
    std::vector<keyed_record> changes;
    std::map<std::string, known_value> listed;
    for (const auto& record : records) {
        const auto known = this->values_.find(record.key);
        if (known == this->values_.end() || known->second.value != record.value) {
            changes.push_back(record);
        }
        listed[record.key] = {record.value, record.offset};
    }
    for (const auto& [key, known] : this->values_) {
        if (!listed.contains(key)) {
            changes.push_back({key, {}, end.offset});
        }
    }
    this->values_ = std::move(listed);
    this->epoch_ = end.epoch;
    this->next_offset_ = end.offset;
    return changes;
}

std::vector<keyed_record> keyed_topic::apply_records(const std::vector<keyed_record>& records,
                                                     std::uint64_t next_offset)
{
    std::map<std::string, const keyed_record*> newest;
    for (const auto& record : records) {
        const auto known = this->values_.find(record.key);
        if (known == this->values_.end() || known->second.offset < record.offset) {
            newest[record.key] = &record;
        }
        else {
            ++this->ignored_records_;
        }
    }
    std::vector<keyed_record> changes;
    for (const auto& [key, record] : newest) {
        if (record->value.empty()) {
            this->values_.erase(key);
        }
        else {
            this->values_[key] = {record->value, record->offset};
        }
        changes.push_back(*record);
    }
    this->next_offset_ = std::max(this->next_offset_, next_offset);
    return changes;
}

} // namespace medlaryoke::policy
