#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Sets the deadline from the header `Medlaryoke-Timeout`, in milliseconds, or from the default.
class deadline_filter final : public request_filter {
public:
    /// @param default_timeout used if the request has no timeout
    explicit deadline_filter(duration default_timeout) : default_timeout_(default_timeout) {}

    filter_result apply(request_context& context) const override;

private:
    duration default_timeout_;
};

} // namespace medlaryoke::filters
