#include "filters/admission_filter.h"

namespace medlaryoke::filters {

filter_result admission_filter::apply(request_context& context) const
{
    return this->check_ ? this->check_(context) : proceed{};
}

} // namespace medlaryoke::filters
