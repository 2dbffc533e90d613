#pragma once

#include <optional>
#include <string>

#include "model/wire.pb.h"
#include "policy/map_switch.h"

namespace medlaryoke::controllers {

/// A command that a coordinator sent to a rank.
struct received_map_command {
    std::string group;             ///< name of the model group
    policy::ballot sender;         ///< ballot of the coordinator
    std::uint64_t incarnation = 0; ///< incarnation of the rank that the command is meant for
    policy::map_command command;
    wire::expert_map map;     ///< content of the map of a prepare command
    bool with_map = false;    ///< whether the reply has to contain the active map
    bool with_tokens = false; ///< whether the reply has to contain the token counts
};

/// Builds the frame that contains a command.
/// @param group name of the model group
/// @param command the command and the rank that it is meant for
/// @param map content of the map, used by a prepare command
/// @return a frame with one of the map messages
wire::frame make_map_frame(const std::string& group, const policy::rank_command& command,
                           const wire::expert_map& map);

/// @param frame a received frame
/// @return the command; empty if the frame contains none or its map cannot be parsed
std::optional<received_map_command> parse_map_frame(const wire::frame& frame);

/// @param group name of the model group
/// @param rank position of the rank in the group
/// @param status status of the rank
/// @return a frame that contains the status
wire::frame make_status_frame(const std::string& group, unsigned rank,
                              const policy::rank_status& status);

/// @param status status message of a rank
/// @return the status of the rank
policy::rank_status parse_status(const wire::map_status& status);

} // namespace medlaryoke::controllers
