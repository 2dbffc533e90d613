#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "policy/expert_map.h"

namespace medlaryoke::policy {

// A step is one forward pass of the group. Steps are numbered in the order in which they run.

/// Tells a rank to copy those experts of a map that the rank does not hold yet.
struct prepare_order {
    /// @param content the map
    prepare_order(expert_map content) // NOLINT(google-explicit-constructor): an order is its map
        : map(std::make_shared<const expert_map>(std::move(content)))
    {
    }

    /// Shared by the orders to all ranks, because the map of a large group has thousands of
    /// entries.
    std::shared_ptr<const expert_map> map;

    bool operator==(const prepare_order& other) const
    {
        return this->map == other.map || *this->map == *other.map;
    }
};

/// Tells a rank to switch to a prepared map when a step begins.
struct arm_order {
    std::uint64_t version = 0;
    std::uint64_t step = 0; ///< first step with the new map
    bool operator==(const arm_order&) const = default;
};

/// Withdraws an armed switch.
struct disarm_order {
    std::uint64_t version = 0;
    bool operator==(const disarm_order&) const = default;
};

/// Keeps the whole group from beginning a step until the hold is lifted.
struct hold_order {
    std::uint64_t step = 0; ///< first step that must not begin
    bool operator==(const hold_order&) const = default;
};

/// Lifts a hold. Has no effect if the rank holds another step or none.
struct release_hold_order {
    std::uint64_t step = 0; ///< step of the hold order
    bool operator==(const release_hold_order&) const = default;
};

using rank_order =
    std::variant<prepare_order, arm_order, disarm_order, hold_order, release_hold_order>;

/// @return name of an order as it appears in logs
std::string_view order_name(const rank_order& order);

/// Outcome of an order.
enum class order_result {
    done,       ///< execution has begun, or the rank is already in the requested state
    conflict,   ///< impossible in the state of the rank, which is left unchanged
    fenced,     ///< refused because the rank has seen a higher token; the sender must stop
    unanswered, ///< no answer: the order may have been executed, or may be executed later
};

/// @return name of a result as it appears in logs
std::string_view to_string(order_result result);

/// State of a rank as reported by its engine.
struct rank_report {
    std::uint64_t epoch = 0; ///< grows each time the group forms again, which voids maps and orders
    bool is_group_complete = true;                 ///< false while a rank of the group is missing
    std::uint64_t step = 0;                        ///< last step that has begun
    std::uint64_t map_version = 0;                 ///< version of the map in use
    std::optional<std::uint64_t> prepared_version; ///< map version whose experts are copied
    std::optional<std::uint64_t> armed_version;    ///< map version of the armed switch
    std::optional<std::uint64_t> held_step;        ///< step that is held
    double slowdown = 1; ///< time the rank takes for its work, relative to a rank at usual speed
    std::string group;   ///< name of the group to which the engine that reports belongs
    unsigned rank = 0;   ///< its rank
    unsigned size = 0;   ///< number of ranks of its group

    bool operator==(const rank_report&) const = default;
};

} // namespace medlaryoke::policy
