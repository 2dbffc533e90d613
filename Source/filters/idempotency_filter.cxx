#include "filters/idempotency_filter.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/identifiers.h"

namespace medlaryoke::filters {

namespace {

constexpr std::size_t max_key_bytes = 255;

} // namespace

filter_result idempotency_filter::apply(request_context& context) const
{
    std::string key(transport::find_header(context.request.headers, "Idempotency-Key"));
    if (key.empty()) {
        context.work.idempotency_key = make_unique_id("key");
        return proceed{};
    }
    const bool printable = std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; });
    if (key.size() > max_key_bytes || !printable) {
        return refuse{
            error_kind::invalid_argument,
            fmt::format("header Idempotency-Key of {} bytes is too long or has characters that are "
                        "not allowed",
                        key.size()),
            fmt::format("Send 1 to {} printable ASCII characters without spaces.", max_key_bytes)};
    }
    context.work.idempotency_key = std::move(key);
    return proceed{};
}

} // namespace medlaryoke::filters
