#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/rank_order.h"

namespace medlaryoke::policy {

/// Model of the engines of one lock-step group that follows the platform documentation.
class rank_group_model {
public:
    struct rank_state {
        std::uint64_t token = 0;
        std::uint64_t map = 0;
        std::uint64_t highest_version = 0; ///< highest version that was ever prepared
        std::optional<std::uint64_t> prepared;
        std::optional<arm_order> armed;
        std::optional<std::uint64_t> held;
    };

    /// @param rank_count number of ranks
    /// @param checks_tokens whether an order with a lower token than one seen is refused
    explicit rank_group_model(unsigned rank_count, bool checks_tokens = true)
        : ranks(rank_count), checks_tokens_(checks_tokens)
    {
    }

    /// Executes an order.
    /// @param rank index of the rank
    /// @param token fencing token of the sender
    /// @param order_epoch epoch in the order
    /// @param order the order
    /// @return the answer of the engine
    order_result handle_order(unsigned rank, std::uint64_t token, std::uint64_t order_epoch,
                              const rank_order& order);

    /// @return what the engine of a rank reports
    [[nodiscard]] rank_report report(unsigned rank) const;

    /// @return what all engines report, by rank
    [[nodiscard]] std::vector<rank_report> reports() const;

    /// Begins the next step unless a rank holds it.
    /// @return whether all ranks use the same map in that step
    bool begin_step();

    /// Starts a new epoch with map 0, as after a restart of a rank.
    void start_epoch();

    std::vector<rank_state> ranks;
    std::uint64_t epoch = 1;
    std::uint64_t step = 10;
    unsigned held_steps = 0; ///< consecutive attempts to begin a step that were held

private:
    order_result execute(rank_state& it, const prepare_order& order);
    order_result execute(rank_state& it, const arm_order& order);
    order_result execute(rank_state& it, const disarm_order& order);
    order_result execute(rank_state& it, const hold_order& order);
    order_result execute(rank_state& it, const release_hold_order& order);

    bool checks_tokens_;
};

} // namespace medlaryoke::policy
