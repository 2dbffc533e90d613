#pragma once

#include "filters/request_filter.h"

namespace medlaryoke::filters {

/// Chooses the priority: the one named in `Medlaryoke-Priority`, or the least urgent one that the
/// caller may use.
class priority_filter final : public request_filter {
public:
    filter_result apply(request_context& context) const override;
};

} // namespace medlaryoke::filters
