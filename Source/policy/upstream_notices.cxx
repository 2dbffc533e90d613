#include "policy/upstream_notices.h"

#include <algorithm>

namespace medlaryoke::policy {

void upstream_notices::set_upstreams(std::uint64_t service,
                                     const std::vector<std::uint64_t>& upstreams, time_point now)
{
    for (auto& [upstream, listed_at] : this->leaving_) {
        if (this->services_.contains(upstream)) {
            listed_at = now;
        }
    }
    std::erase_if(this->services_, [service](const auto& it) { return it.second == service; });
    for (const auto upstream : upstreams) {
        this->services_[upstream] = service;
    }
}

bool upstream_notices::on_leaving(std::uint64_t upstream, time_point now)
{
    if (this->leaving_.contains(upstream) || this->leaving_.size() >= this->options_.max_leaving) {
        return false;
    }
    this->leaving_[upstream] = now;
    return true;
}

duration upstream_notices::on_pause(std::uint64_t upstream, duration asked, time_point now)
{
    const auto believed = std::min(asked, this->options_.max_pause);
    auto& until = this->pauses_[upstream];
    until = std::max(until, now + believed);
    return believed;
}

std::optional<time_point> upstream_notices::paused_until(std::uint64_t upstream,
                                                         time_point now) const
{
    if (this->pauses_.empty()) {
        return std::nullopt;
    }
    const auto found = this->pauses_.find(upstream);
    return found == this->pauses_.end() || found->second <= now ? std::nullopt
                                                                : std::optional(found->second);
}

std::vector<std::uint64_t> upstream_notices::leaving() const
{
    std::vector<std::uint64_t> list;
    list.reserve(this->leaving_.size());
    for (const auto& [upstream, listed_at] : this->leaving_) {
        if (this->services_.contains(upstream)) {
            list.push_back(upstream);
        }
    }
    return list;
}

void upstream_notices::on_tick(time_point now)
{
    std::erase_if(this->pauses_, [now](const auto& it) { return it.second <= now; });
    std::erase_if(this->leaving_, [this, now](const auto& it) {
        return !this->services_.contains(it.first) &&
               now - it.second > this->options_.unlisted_time;
    });
}

} // namespace medlaryoke::policy
