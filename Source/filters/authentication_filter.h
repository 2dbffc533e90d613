#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Identifies the caller by the bearer token in the header `Authorization`.
class authentication_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
