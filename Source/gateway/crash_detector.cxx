#include "gateway/crash_detector.h"

#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace medlaryoke::gateway {

namespace {

// Several round trips within a region.
constexpr auto check_timeout = std::chrono::milliseconds(200);

// Parts of prompts that one line of the log names.
constexpr std::size_t max_logged_parts = 24;

std::string describe_parts(const std::vector<policy::crash_suspect>& suspects)
{
    std::vector<std::string> parts;
    for (const auto& it : suspects) {
        for (const auto& part : it.parts) {
            if (parts.size() < max_logged_parts) {
                parts.push_back(part);
            }
        }
    }
    return fmt::format("{}", fmt::join(parts, " "));
}

std::string_view to_string(transport::connection_state state)
{
    switch (state) {
    case transport::connection_state::accepted:
        return "accepted";
    case transport::connection_state::refused:
        return "refused";
    case transport::connection_state::no_answer:
        break;
    }
    return "no_answer";
}

} // namespace

void crash_detector::check(std::uint64_t upstream, const std::string& address,
                           policy::crash_suspect suspect, std::function<void(bool ended)> done)
{
    auto& check = this->pending_[upstream];
    check.crash.suspects.push_back(std::move(suspect));
    check.handlers.push_back(std::move(done));
    if (check.handlers.size() > 1) {
        return;
    }
    check.crash.upstream = upstream;
    check.crash.at = this->clock_.now();
    transport::check_connection(this->context_, address, check_timeout,
                                [this, upstream, address](transport::connection_state state) {
                                    this->on_result(upstream, address, state);
                                });
}

void crash_detector::on_result(std::uint64_t upstream, const std::string& address,
                               transport::connection_state state)
{
    const auto found = this->pending_.find(upstream);
    const auto check = std::move(found->second);
    this->pending_.erase(found);
    const bool ended = state == transport::connection_state::refused;
    this->log_.sample(ended ? log_level::warning : log_level::info,
                      ended ? "upstream ended" : "upstream closed a connection",
                      {{"upstream", fmt::format("{:016x}", upstream)},
                       {"address", address},
                       {"connection", to_string(state)},
                       {"requests", static_cast<std::int64_t>(check.crash.suspects.size())},
                       {"parts", describe_parts(check.crash.suspects)}});
    if (ended) {
        this->on_crash_(check.crash);
    }
    for (const auto& done : check.handlers) {
        done(ended);
    }
}

} // namespace medlaryoke::gateway
