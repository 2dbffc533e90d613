#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/expert_map.h"

namespace medlaryoke::policy {

/// Copies the experts of a map that are new to the rank.
struct prepare_order {
    expert_map map;
    bool operator==(const prepare_order&) const = default;
};

/// Switches to a prepared map as a pass begins.
struct arm_order {
    std::uint64_t version = 0;
    std::uint64_t step = 0; ///< number of the pass
    bool operator==(const arm_order&) const = default;
};

/// Takes an armed switch back.
struct disarm_order {
    std::uint64_t version = 0;
    bool operator==(const disarm_order&) const = default;
};

/// Keeps the whole group from beginning a pass.
struct hold_order {
    std::uint64_t step = 0;
    bool operator==(const hold_order&) const = default;
};

/// Lifts a hold.
struct go_order {
    std::uint64_t step = 0;
    bool operator==(const go_order&) const = default;
};

using rank_order = std::variant<prepare_order, arm_order, disarm_order, hold_order, go_order>;

/// @return name of an order, for logs
std::string_view order_name(const rank_order& order);

/// How an engine answered an order.
enum class order_result {
    done,       ///< begun, or the state already holds
    conflict,   ///< does not fit the state; changes nothing
    fenced,     ///< a higher token was seen; the sender must stop
    unanswered, ///< may have been obeyed, or may be obeyed later
};

/// @return name of a result, for logs
std::string_view to_string(order_result result);

/// What an engine reports of its rank.
struct rank_report {
    std::uint64_t epoch = 0; ///< grows each time the group forms; maps and orders end with it
    bool open = true;        ///< false while a rank is missing
    std::uint64_t step = 0;  ///< last pass that was begun
    std::uint64_t map = 0;   ///< version in use
    std::optional<std::uint64_t> prepared; ///< version, once it is copied
    std::optional<std::uint64_t> armed;    ///< version
    std::optional<std::uint64_t> held;     ///< pass
    double pace = 1; ///< how many times as long as usual the rank takes for its work

    bool operator==(const rank_report&) const = default;
};

} // namespace medlaryoke::policy
