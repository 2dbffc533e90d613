#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Runs filters in order until one refuses the request.
class filter_chain {
public:
    /// @param filters the filters in the order in which they run
    explicit filter_chain(std::vector<std::unique_ptr<request_filter>> filters);

    /// @param context the request and what the filters read from it
    /// @return the first refusal, or proceed; an exception thrown by a filter becomes a refusal
    filter_result apply(request_context& context) const;

private:
    std::vector<std::unique_ptr<request_filter>> filters_;
};

/// Limits and callbacks of the filters of an entry.
struct filter_chain_options {
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration default_timeout = std::chrono::seconds(60); ///< of a request without a timeout
    std::function<filter_result(const request_context&)> admission; ///< see admission_filter
};

/// Makes the filter chain of an entry: size and syntax, authentication, priority, target, deadline,
/// idempotency, admission.
/// @param options limits, and the callback that decides on admission
/// @return the chain
filter_chain make_filter_chain(filter_chain_options options);

} // namespace medlaryoke::filters
