#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Finds the caller whose credential the request carries.
class authentication_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
