#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Reads `Idempotency-Key`, or makes a key, in which case a repeat is a new request.
class idempotency_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
