#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Reads the idempotency key from the header `Idempotency-Key`. Without the header it generates a
/// unique key, so that a repeated request counts as a new one.
class idempotency_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
