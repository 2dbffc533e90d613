#include "policy/rank_order.h"

#include <array>

namespace medlaryoke::policy {

std::string_view order_name(const rank_order& order)
{
    constexpr std::array<std::string_view, std::variant_size_v<rank_order>> names{
        "prepare", "arm", "disarm", "hold", "go"};
    return names.at(order.index());
}

std::string_view to_string(order_result result)
{
    constexpr std::array<std::string_view, 4> names{"done", "conflict", "fenced", "unanswered"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace medlaryoke::policy
