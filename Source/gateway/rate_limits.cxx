#include "gateway/rate_limits.h"

#include <charconv>
#include <cmath>

#include <fmt/format.h>

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

void rate_limits::on_answer(std::uint64_t upstream, const std::string& id, unsigned status,
                            std::string_view text)
{
    const auto limit = parse_rate_limit(text);
    if (!text.empty() && !limit) {
        this->log_.sample(log_level::warning, "rate limit cannot be read",
                          {{"upstream", id}, {"limit", text.substr(0, max_logged_limit)}});
        return;
    }
    const auto earlier = this->table_.limit(upstream);
    if (!this->table_.add({upstream, limit, this->clock_.now()})) {
        return;
    }
    this->metrics_.count(limit ? "rate_limits_named" : "rate_limits_ended");
    this->log_.sample(log_level::info, limit ? "rate limit named" : "rate limit ended",
                      {{"upstream", id},
                       {"per_second", limit.value_or(0)},
                       {"earlier", earlier.value_or(0)},
                       {"status", static_cast<std::int64_t>(status)},
                       {"source", "answer"}});
}

void rate_limits::on_sent(std::uint64_t upstream, bool is_repeat)
{
    if (this->table_.limit(upstream)) {
        this->metrics_.count("attempts_to_limited",
                             fmt::format("repeat=\"{}\"", is_repeat ? "yes" : "no"));
        this->log_.sample(log_level::info, "attempt to limited upstream",
                          {{"upstream", fmt::format("{:016x}", upstream)}, {"repeat", is_repeat}});
    }
}

} // namespace medlaryoke::gateway
