#include "gateway/notice_exchange.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "gateway/rate_limits.h"

namespace medlaryoke::gateway {

namespace {

// Characters of a time that cannot be read which are written to the log.
constexpr std::size_t max_logged_time = 40;

// Longer than any time that is believed; keeps the conversion within the range of the clock.
constexpr double max_seconds = 86400;

std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

std::optional<duration> parse_retry_after(std::string_view text)
{
    // Both headers hold a decimal number that is finite and not negative.
    const auto seconds = parse_rate_limit(text);
    if (!seconds) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(*seconds, max_seconds)));
}

void notice_exchange::on_leaving_answer(std::uint64_t upstream, const std::string& id)
{
    if (this->notices_.on_leaving(upstream, this->clock_.now())) {
        this->note_leaving(upstream, id, "answer");
        if (this->on_changed_) {
            this->on_changed_();
        }
    }
}

void notice_exchange::on_refusing_answer(std::uint64_t upstream, const std::string& id,
                                         std::string_view retry_after)
{
    const auto asked = parse_retry_after(retry_after);
    if (!asked) {
        this->log_.sample(
            log_level::warning, "time of a refusal cannot be read",
            {{"upstream", id}, {"retry_after", retry_after.substr(0, max_logged_time)}});
        return;
    }
    if (*asked <= duration::zero()) {
        return;
    }
    const auto believed = this->notices_.on_pause(upstream, *asked, this->clock_.now());
    this->metrics_.count("upstream_pauses");
    this->log_.sample(believed < *asked ? log_level::warning : log_level::info,
                      "upstream wants no requests",
                      {{"upstream", id},
                       {"asked_ms", to_milliseconds(*asked)},
                       {"believed_ms", to_milliseconds(believed)}});
}

void notice_exchange::fill(policy::peer_heartbeat& heartbeat) const
{
    heartbeat.leaving = this->notices_.leaving();
}

void notice_exchange::on_heartbeat(const policy::peer_heartbeat& heartbeat)
{
    for (const auto upstream : heartbeat.leaving) {
        if (this->notices_.on_leaving(upstream, this->clock_.now())) {
            this->note_leaving(upstream, {}, heartbeat.instance);
        }
    }
}

void notice_exchange::note_leaving(std::uint64_t upstream, std::string_view id,
                                   std::string_view source)
{
    this->metrics_.count("upstreams_leaving");
    this->log_.sample(
        log_level::info, "upstream leaves",
        {{"upstream", id}, {"incarnation", fmt::format("{:016x}", upstream)}, {"source", source}});
}

} // namespace medlaryoke::gateway
