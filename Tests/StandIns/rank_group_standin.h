#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

/// Options of rank_group_standin.
struct rank_group_options {
    std::vector<std::string> addresses; ///< one for each rank; port 0 picks a free one
    std::size_t layers = 2;             ///< number of layers with experts
    std::size_t slots_per_rank = 3;     ///< experts that a rank holds in each layer
    duration step_time = std::chrono::milliseconds(25);     ///< time between steps
    duration map_load_time = std::chrono::milliseconds(50); ///< time to load the weights of a map
};

/// Stand-in for a group of ranks that run steps together. Each rank answers `GET /rank`,
/// `POST /orders` and `GET /load` at its own address. A step runs when all ranks may start it.
///
/// Every rank also answers for the group:
/// - `GET /control/steps` with `steps` and `split` (steps that ranks began on different maps);
/// - `PUT /control/faults` with `restart` (a rank that loses its state), `stall` (a rank that
/// starts
///   no steps, -1: none) and `hot_slot` (slot of rank 1 that takes most of the tokens, -1: none).
class rank_group_standin {
public:
    /// @param context runs the servers and the timers of the ranks
    /// @param options addresses, sizes and durations
    rank_group_standin(transport::runtime& context, rank_group_options options);
    rank_group_standin(const rank_group_standin&) = delete;
    rank_group_standin& operator=(const rank_group_standin&) = delete;
    rank_group_standin(rank_group_standin&&) = delete;
    rank_group_standin& operator=(rank_group_standin&&) = delete;
    ~rank_group_standin();

    /// @return bound IP address and port of each rank
    [[nodiscard]] std::vector<std::string> addresses() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::standins
