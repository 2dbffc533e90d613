#include "policy/cold_start.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace medlaryoke::policy {

namespace {

// Part of what a cold upstream bears that is used. Requests of several gateways that were sent
// within a second may arrive closer together.
constexpr double used_fraction = 0.8;

// Part of the bearable requests that are meant if it is drawn which gateways send.
constexpr double drawn_fraction = 0.5;

} // namespace

void cold_start::on_cold(std::uint64_t upstream, time_point until)
{
    auto& it = this->cold_[upstream];
    it.until = std::max(it.until, until);
}

bool cold_start::is_cold(std::uint64_t upstream, time_point now) const
{
    if (this->cold_.empty() || !this->is_limited()) {
        return false;
    }
    const auto found = this->cold_.find(upstream);
    return found != this->cold_.end() && now < found->second.until;
}

bool cold_start::permits(std::uint64_t upstream, time_point now) const
{
    if (!this->is_cold(upstream, now)) {
        return true;
    }
    const auto& next = this->cold_.at(upstream).next_request;
    return this->interval(upstream) && (!next || *next <= now);
}

void cold_start::on_sent(std::uint64_t upstream, time_point now)
{
    if (this->is_cold(upstream, now)) {
        this->cold_[upstream].next_request =
            now + this->interval(upstream).value_or(this->limits_.cold_time);
    }
}

std::optional<duration> cold_start::interval(std::uint64_t upstream) const
{
    const auto bearable =
        used_fraction * (this->limits_.per_second * this->limits_.overage + this->limits_.slack);
    const auto gateways = static_cast<double>(std::max<std::size_t>(this->gateway_count_, 1));
    // With k requests in some second, the first and the last are k - 1 intervals apart. A share
    // that is no whole number is rounded down.
    const auto share = bearable / gateways;
    if (share >= 2) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / (std::floor(share) - 1)));
    }
    // One request in more than a second. With more gateways than bearable requests, a part of them
    // sends, a different one for each upstream. Which ones is drawn, so half as many are meant.
    const bool sends =
        share >= 1 || static_cast<double>(hash64("cold", this->gateway_ ^ upstream) %
                                          this->gateway_count_) < drawn_fraction * bearable;
    const auto just_over_a_second = std::chrono::milliseconds(1100);
    return sends ? std::optional<duration>(just_over_a_second) : std::nullopt;
}

void cold_start::on_tick(time_point now)
{
    std::erase_if(this->cold_, [now](const auto& it) { return it.second.until <= now; });
}

} // namespace medlaryoke::policy
