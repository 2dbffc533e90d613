#include "policy/keyed_topic.h"

#include <algorithm>
#include <set>

namespace medlaryoke::policy {

std::vector<keyed_record> keyed_topic::apply_listing(const std::vector<keyed_record>& records,
                                                     std::uint64_t end)
{
    std::vector<keyed_record> changes;
    std::set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.key);
        const auto known = this->values_.find(record.key);
        if (known != this->values_.end() && known->second.offset >= record.offset) {
            continue;
        }
        // A key that a newer record removed is not brought back by an older listing.
        if (known == this->values_.end() && record.offset<this->next_&& this->next_> end) {
            continue;
        }
        this->values_[record.key] = {record.value, record.offset};
        changes.push_back(record);
    }
    for (auto it = this->values_.begin(); it != this->values_.end();) {
        if (listed.contains(it->first) || it->second.offset >= end) {
            ++it;
            continue;
        }
        changes.push_back({it->first, {}, end});
        it = this->values_.erase(it);
    }
    this->next_ = std::max(this->next_, end);
    return changes;
}

std::vector<keyed_record> keyed_topic::apply_records(const std::vector<keyed_record>& records,
                                                     std::uint64_t next)
{
    std::map<std::string, const keyed_record*> newest;
    for (const auto& record : records) {
        const auto known = this->values_.find(record.key);
        if (known == this->values_.end() || known->second.offset < record.offset) {
            newest[record.key] = &record;
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
    this->next_ = std::max(this->next_, next);
    return changes;
}

} // namespace medlaryoke::policy
