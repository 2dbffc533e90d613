#include "controllers/usage_meter.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace medlaryoke::controllers {

namespace {

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

usage_meter::usage_meter(duration time_constant) : time_constant_(time_constant) {}

void usage_meter::add(const std::string& organisation, double tokens, time_point now)
{
    auto& usage = this->usage_[hash64(organisation)];
    usage.tokens = this->tokens_at(usage, now) + tokens;
    usage.updated_at = now;
}

std::vector<wire::organisation_usage> usage_meter::top_organisations(std::size_t count,
                                                                     time_point now)
{
    std::vector<wire::organisation_usage> list;
    std::erase_if(this->usage_, [&](const auto& item) {
        const auto rate = this->tokens_at(item.second, now) / seconds(this->time_constant_);
        if (rate < 1) {
            return true;
        }
        auto& usage = list.emplace_back();
        usage.set_organisation_hash(item.first);
        usage.set_tokens_per_second(static_cast<std::uint32_t>(std::min(rate, 4e9)));
        return false;
    });
    std::ranges::sort(list, [](const auto& a, const auto& b) {
        return a.tokens_per_second() != b.tokens_per_second()
                   ? a.tokens_per_second() > b.tokens_per_second()
                   : a.organisation_hash() < b.organisation_hash();
    });
    list.resize(std::min(list.size(), count));
    return list;
}

double usage_meter::tokens_at(const decayed_usage& usage, time_point now) const
{
    return usage.tokens *
           std::exp(-seconds(now - usage.updated_at) / seconds(this->time_constant_));
}

} // namespace medlaryoke::controllers
