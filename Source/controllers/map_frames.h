#pragma once

#include <optional>
#include <string>

#include "model/wire.pb.h"
#include "policy/map_switch.h"

namespace medlaryoke::controllers {

/// A command of a coordinator as received in a frame.
struct received_map_command {
    std::string group;
    policy::ballot sender;
    std::uint64_t incarnation = 0;
    policy::map_command command;
    wire::expert_map map; ///< of a prepare command
    bool with_map = false;
    bool with_tokens = false;
};

/// Builds the frame of a command.
/// @param group name of the model group
/// @param command what the rank shall do
/// @param map content of the map, used by a prepare command
/// @return a frame with one of the map messages
wire::frame make_map_frame(const std::string& group, const policy::rank_command& command,
                           const wire::expert_map& map);

/// @param frame a frame
/// @return the command, empty if the frame is no map message
std::optional<received_map_command> parse_map_frame(const wire::frame& frame);

/// @param group name of the model group
/// @param rank position in the group
/// @param status state of the rank
/// @return a frame with the status
wire::frame make_status_frame(const std::string& group, unsigned rank,
                              const policy::rank_status& status);

/// @param status a received status
/// @return the state of the rank
policy::rank_status parse_status(const wire::map_status& status);

} // namespace medlaryoke::controllers
