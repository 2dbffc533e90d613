#include "policy/session_fence.h"

namespace medlaryoke::policy {

session_fence::session_fence(std::size_t max_entries) : max_entries_(max_entries) {}

session_opening session_fence::open(std::uint64_t entry_incarnation, std::uint32_t session_number)
{
    const auto it = this->entries_.find(entry_incarnation);
    if (it != this->entries_.end()) {
        if (session_number < it->second.session) {
            return session_opening::fenced;
        }
        it->second.session = session_number;
        return session_opening::opened;
    }
    if (this->entries_.size() >= this->max_entries_) {
        return session_opening::no_capacity;
    }
    this->entries_.emplace(entry_incarnation, entry_state{.session = session_number});
    return session_opening::opened;
}

bool session_fence::receive(std::uint64_t entry_incarnation, std::uint32_t session_number,
                            std::uint64_t dispatch_id)
{
    const auto it = this->entries_.find(entry_incarnation);
    if (it == this->entries_.end() || it->second.session != session_number ||
        dispatch_id <= it->second.highest_dispatch_id) {
        return false;
    }
    it->second.highest_dispatch_id = dispatch_id;
    return true;
}

bool session_fence::is_current(std::uint64_t entry_incarnation, std::uint32_t session_number) const
{
    const auto it = this->entries_.find(entry_incarnation);
    return it != this->entries_.end() && it->second.session == session_number;
}

bool session_fence::never_received(std::uint64_t entry_incarnation, std::uint64_t dispatch_id) const
{
    const auto it = this->entries_.find(entry_incarnation);
    return it == this->entries_.end() || dispatch_id > it->second.highest_dispatch_id;
}

} // namespace medlaryoke::policy
