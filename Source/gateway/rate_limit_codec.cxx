#include "gateway/rate_limit_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace medlaryoke::gateway {

namespace {

// A statement of greater age is not sent. A larger number in a message is taken for this one.
constexpr std::chrono::milliseconds max_age = std::chrono::hours(24);

bool is_rate(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

void write_rate_limits(const policy::peer_heartbeat& heartbeat, time_point now,
                       wire::gateway_beat& message)
{
    for (const auto& statement : heartbeat.limits) {
        auto& it = *message.add_limit();
        it.set_upstream(statement.upstream);
        if (statement.per_second) {
            it.set_per_second(*statement.per_second);
        }
        const auto age = std::clamp<duration>(now - statement.stated_at, duration::zero(), max_age);
        it.set_ago_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    }
    for (const auto& permit : heartbeat.permits) {
        auto& it = *message.add_permit();
        it.set_gateway(permit.gateway);
        it.set_upstream(permit.upstream);
        it.set_count(permit.count);
    }
    for (const auto& [service, per_second] : heartbeat.demand) {
        auto& it = *message.add_demand();
        it.set_service(service);
        it.set_per_second(per_second);
    }
}

void read_rate_limits(const wire::gateway_beat& message, time_point now,
                      policy::peer_heartbeat& heartbeat)
{
    for (const auto& it : message.limit()) {
        if (it.has_per_second() && !is_rate(it.per_second())) {
            continue;
        }
        policy::rate_limit_statement statement;
        statement.upstream = it.upstream();
        if (it.has_per_second()) {
            statement.per_second = it.per_second();
        }
        const std::chrono::milliseconds age(
            std::min(it.ago_ms(), static_cast<std::uint64_t>(max_age.count())));
        statement.stated_at = now - age;
        heartbeat.limits.push_back(statement);
    }
    for (const auto& it : message.permit()) {
        heartbeat.permits.push_back({it.gateway(), it.upstream(), it.count()});
    }
    for (const auto& it : message.demand()) {
        if (is_rate(it.per_second())) {
            heartbeat.demand[it.service()] = it.per_second();
        }
    }
}

} // namespace medlaryoke::gateway
