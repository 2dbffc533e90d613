#include "policy/lease_ledger.h"

#include <algorithm>

namespace medlaryoke::policy {

namespace {

using namespace std::chrono_literals;

constexpr int margin_divisor = 10;
constexpr duration min_margin = 200ms;

} // namespace

duration lease_margin(duration time_to_live)
{
    return std::max(time_to_live / margin_divisor, min_margin);
}

bool lease_ledger::apply(std::uint64_t offset, const wire::lease& record, time_point read_at)
{
    if (this->first_offset_ == 0) {
        this->first_offset_ = offset;
    }
    if (!this->is_accepted(record)) {
        return false;
    }
    const bool is_truncated = this->first_offset_ > 1;
    const bool is_predecessor_dropped =
        is_truncated && record.previous_offset() < this->first_offset_;
    const auto last = this->find(record.name());
    const bool is_renewal = last.offset != 0 && !last.released && last.holder == record.holder() &&
                            last.incarnation == record.incarnation();
    this->leases_[record.name()] = {
        .offset = offset,
        .fence = is_renewal ? last.fence : offset,
        .holder = record.holder(),
        .incarnation = record.incarnation(),
        .time_to_live = std::chrono::milliseconds(record.ttl_ms()),
        .read_at = read_at,
        .released = record.released(),
        .previous_offset = record.previous_offset(),
        .tentative = is_predecessor_dropped,
    };
    return true;
}

bool lease_ledger::is_accepted(const wire::lease& record) const
{
    const auto it = this->leases_.find(record.name());
    const auto previous = record.previous_offset();
    if (it == this->leases_.end()) {
        return previous == 0 || previous < this->first_offset_;
    }
    const auto& last = it->second;
    if (previous == last.offset) {
        return true;
    }
    return last.tentative && previous < this->first_offset_ && previous > last.previous_offset;
}

lease_state lease_ledger::find(const std::string& name) const
{
    const auto it = this->leases_.find(name);
    return it == this->leases_.end() ? lease_state{} : it->second;
}

bool lease_ledger::is_available(const std::string& name, time_point now) const
{
    const auto state = this->find(name);
    if (state.offset == 0 || state.released) {
        return true;
    }
    return now >= state.read_at + state.time_to_live + lease_margin(state.time_to_live);
}

} // namespace medlaryoke::policy
