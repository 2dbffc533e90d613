#include "filters/deadline_filter.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

#include <fmt/format.h>

namespace medlaryoke::filters {

namespace {

/// Longer timeouts are refused: they keep state for callers that have long gone.
constexpr std::chrono::milliseconds max_timeout = std::chrono::hours(24);

} // namespace

filter_result deadline_filter::apply(request_context& context) const
{
    const auto text = transport::find_header(context.request.headers, "Medlaryoke-Timeout");
    if (text.empty()) {
        context.work.deadline = context.now + this->default_timeout_;
        return proceed{};
    }
    std::int64_t count = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, count);
    if (ec != std::errc{} || stop != end || count <= 0 || count > max_timeout.count()) {
        return refuse{error_kind::invalid_argument,
                      fmt::format("header Medlaryoke-Timeout has value \"{}\"", text),
                      fmt::format("Send a whole number of milliseconds between 1 and {}.",
                                  max_timeout.count())};
    }
    context.work.deadline = context.now + std::chrono::milliseconds(count);
    return proceed{};
}

} // namespace medlaryoke::filters
