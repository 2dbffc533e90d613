#include "gateway/rate_limits.h"

#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "base/digest.h"

namespace medlaryoke::gateway {

namespace {

// Characters of a limit that cannot be read which are written to the log.
constexpr std::size_t max_logged_limit = 40;

} // namespace

std::optional<double> parse_rate_limit(std::string_view text)
{
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = ec == std::errc() && end == text.data() + text.size();
    return is_number && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

rate_limits::rate_limits(const clock_source& clock, gateway_metrics& metrics,
                         std::string_view gateway, std::uint64_t seed)
    : clock_(clock), metrics_(metrics), shared_(hash64(gateway), {}, seed)
{
}

void rate_limits::on_answer(std::uint64_t upstream, const std::string& id, unsigned status,
                            std::string_view text)
{
    const auto limit = parse_rate_limit(text);
    if (!text.empty() && !limit) {
        this->log_.sample(log_level::warning, "rate limit cannot be read",
                          {{"upstream", id}, {"limit", text.substr(0, max_logged_limit)}});
        return;
    }
    this->note_bound(id, limit);
    const auto earlier = this->shared_.limit(upstream);
    if (this->shared_.add({upstream, limit, this->clock_.now()},
                          policy::statement_source::answer)) {
        this->note_change(upstream, id, earlier, fmt::format("answer {}", status));
        if (this->on_changed_) {
            this->on_changed_();
        }
    }
}

void rate_limits::note_bound(std::string_view source, std::optional<double> limit)
{
    if (limit > this->shared_.max_rate()) {
        this->log_.sample(
            log_level::warning, "rate limit is bounded",
            {{"source", source}, {"per_second", *limit}, {"bound", this->shared_.max_rate()}});
    }
}

void rate_limits::note_change(std::uint64_t upstream, std::string_view id,
                              std::optional<double> earlier, std::string_view source)
{
    const auto limit = this->shared_.limit(upstream);
    this->metrics_.count(limit ? "rate_limits_named" : "rate_limits_ended");
    this->log_.sample(log_level::info, limit ? "rate limit named" : "rate limit ended",
                      {{"upstream", id},
                       {"incarnation", fmt::format("{:016x}", upstream)},
                       {"per_second", limit.value_or(0)},
                       {"earlier", earlier.value_or(0)},
                       {"source", source}});
}

void rate_limits::on_sent(std::uint64_t upstream, bool is_repeat)
{
    if (this->shared_.limit(upstream)) {
        this->metrics_.count("attempts_to_limited",
                             fmt::format("repeat=\"{}\"", is_repeat ? "yes" : "no"));
        this->log_.sample(log_level::info, "attempt to limited upstream",
                          {{"upstream", fmt::format("{:016x}", upstream)}, {"repeat", is_repeat}});
    }
}

void rate_limits::set_gateways(const std::vector<const policy::peer_heartbeat*>& peers,
                               std::size_t all_count, bool is_serving)
{
    std::vector<policy::limit_sharer> sharers;
    sharers.reserve(peers.size());
    for (const auto* peer : peers) {
        sharers.push_back({hash64(peer->instance), peer->serving, peer->demand});
    }
    this->shared_.set_gateways(std::move(sharers), all_count, is_serving);
}

void rate_limits::fill(policy::peer_heartbeat& heartbeat)
{
    heartbeat.limits = this->shared_.report();
    heartbeat.demand = this->shared_.demand(this->clock_.now());
    heartbeat.permits = this->shared_.take_issued();
}

void rate_limits::on_heartbeat(const policy::peer_heartbeat& heartbeat)
{
    for (const auto& statement : heartbeat.limits) {
        this->note_bound(heartbeat.instance, statement.per_second);
        const auto earlier = this->shared_.limit(statement.upstream);
        if (this->shared_.add(statement, policy::statement_source::peer)) {
            this->note_change(statement.upstream, {}, earlier, heartbeat.instance);
        }
    }
    for (const auto& permit : heartbeat.permits) {
        this->shared_.accept(permit, this->clock_.now());
    }
}

void rate_limits::tick()
{
    this->shared_.tick(this->clock_.now());
}

} // namespace medlaryoke::gateway
