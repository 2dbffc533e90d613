#include "filters/deadline_filter.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

#include <fmt/format.h>

namespace medlaryoke::filters {

namespace {

/// Longer timeouts are refused, because they keep the state of requests whose callers disconnected
/// long ago.
constexpr std::chrono::milliseconds max_timeout = std::chrono::hours(24);

} // namespace

filter_result deadline_filter::apply(request_context& context) const
{
    const auto text = transport::find_header(context.request.headers, "Medlaryoke-Timeout");
    if (text.empty()) {
        context.work.deadline = context.now + this->default_timeout_;
        return proceed{};
    }
    std::int64_t timeout_ms = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, ec] = std::from_chars(text.data(), end, timeout_ms);
    if (ec != std::errc{} || parsed_end != end || timeout_ms <= 0 ||
        timeout_ms > max_timeout.count()) {
        return refuse{error_kind::invalid_argument,
                      fmt::format("header Medlaryoke-Timeout has value \"{}\"", text),
                      fmt::format("Send a whole number of milliseconds between 1 and {}.",
                                  max_timeout.count())};
    }
    context.work.deadline = context.now + std::chrono::milliseconds(timeout_ms);
    return proceed{};
}

} // namespace medlaryoke::filters
