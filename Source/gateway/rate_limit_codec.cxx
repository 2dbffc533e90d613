#include "gateway/rate_limit_codec.h"

#include <cmath>

#include "gateway/message_age.h"

namespace medlaryoke::gateway {

namespace {

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
        it.set_ago_ms(to_age_ms(statement.stated_at, now));
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
        statement.stated_at = from_age_ms(it.ago_ms(), now);
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
