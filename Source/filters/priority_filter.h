#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Sets the priority to the one named in the header `Medlaryoke-Priority`, or without the header to
/// the least urgent one that the caller may use.
class priority_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
