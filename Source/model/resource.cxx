#include "model/resource.h"

#include <array>

namespace medlaryoke::model {

std::string_view kind_of(const resource_spec& spec)
{
    constexpr std::array<std::string_view, 4> names{"model_group", "upstream", "priority",
                                                    "caller"};
    return names.at(spec.index());
}

} // namespace medlaryoke::model
