#pragma once

#include "filters/filter_result.h"
#include "filters/request_context.h"

namespace medlaryoke::filters {

/// Checks or completes a request. Filters keep no state between requests and are thread safe.
class request_filter {
public:
    request_filter() = default;
    request_filter(const request_filter&) = delete;
    request_filter& operator=(const request_filter&) = delete;
    request_filter(request_filter&&) = delete;
    request_filter& operator=(request_filter&&) = delete;
    virtual ~request_filter() = default;

    /// @param context the request; the filter stores its results here
    /// @return proceed, or the refusal of the request
    virtual filter_result apply(request_context& context) const = 0;
};

} // namespace medlaryoke::filters
