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

    /// @param context the request
    /// @return the first refusal, or proceed; an exception of a filter becomes a refusal
    filter_result apply(request_context& context) const;

private:
    std::vector<std::unique_ptr<request_filter>> filters_;
};

struct filter_chain_options {
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    duration default_timeout = std::chrono::seconds(60);
    std::function<filter_result(const request_context&)> admission;
};

/// @param options limits, and the decision on admission
/// @return the chain of an entry: size and syntax, authentication, priority, target, deadline,
/// idempotency, admission
filter_chain make_filter_chain(filter_chain_options options);

} // namespace medlaryoke::filters
