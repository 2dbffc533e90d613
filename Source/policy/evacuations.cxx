#include "policy/evacuations.h"

#include <algorithm>

namespace medlaryoke::policy {

void evacuations::on_record(const std::string& data_centre, bool is_asked, change_origin origin,
                            time_point now)
{
    if (is_asked) {
        this->own_[data_centre] = std::nullopt;
        return;
    }
    const auto found = this->own_.find(data_centre);
    if (found == this->own_.end()) {
        return;
    }
    if (origin == change_origin::restored_copy) {
        found->second = now + this->options_.rewrite_time;
    }
    else {
        this->own_.erase(found);
    }
}

void evacuations::on_peer(const log_position& position,
                          const std::vector<std::string>& data_centres)
{
    if (position <= this->position()) {
        return;
    }
    auto next = data_centres;
    // A peer may have read a restored copy, which lacks what was written since.
    if (position.epoch != this->own_position_.epoch && this->own_position_.epoch != 0) {
        const auto known = this->data_centres();
        next.insert(next.end(), known.begin(), known.end());
    }
    std::ranges::sort(next);
    const auto repeated = std::ranges::unique(next);
    next.erase(repeated.begin(), repeated.end());
    this->from_peer_ = std::move(next);
    this->peer_position_ = position;
}

void evacuations::expire(time_point now)
{
    std::erase_if(this->own_, [now](const auto& it) { return it.second && *it.second <= now; });
}

std::vector<std::string> evacuations::data_centres() const
{
    if (this->peer_position_ > this->own_position_) {
        return this->from_peer_;
    }
    std::vector<std::string> list;
    list.reserve(this->own_.size());
    for (const auto& [data_centre, ends_at] : this->own_) {
        list.push_back(data_centre);
    }
    return list;
}

} // namespace medlaryoke::policy
