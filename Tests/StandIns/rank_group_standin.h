#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "transport/runtime.h"

namespace medlaryoke::standins {

struct rank_group_options {
    std::vector<std::string> addresses; ///< one for each rank; port 0 picks a free one
    std::size_t layers = 2;
    std::size_t slots_per_rank = 3;
    duration step_time = std::chrono::milliseconds(25);
    duration load_time = std::chrono::milliseconds(50); ///< to load the weights of a map
};

/// Stand-in of a lock-step group of ranks. Each rank answers `GET /rank`, `POST /orders` and
/// `GET /load` at its own address. A step is run when all ranks may start it. The first rank also
/// answers `GET /control/steps` with `steps` and `split` (steps that ranks began on different
/// maps), and `PUT /control/faults` with `restart` (a rank), `stall` (a rank, -1: none) and
/// `hot_slot` (slot of rank 1 that takes most of the tokens, -1: none).
class rank_group_standin {
public:
    /// @param context runs the ranks
    /// @param options addresses and times
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
