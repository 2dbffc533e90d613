#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Determines the model group or the service that serves the request, and whether the request may
/// be retried.
class target_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
