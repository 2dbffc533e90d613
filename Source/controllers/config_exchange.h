#pragma once

#include <cstdint>
#include <optional>

#include "controllers/config_store.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// @param store configuration of this process
/// @param offset offset of the last record that the peer has folded
/// @return frame with the records that the peer is missing; empty if it is up to date
std::optional<wire::frame> make_config_update(const config_store& store, std::uint64_t offset);

/// Handles a frame from a peer: folds configuration records that are newer than the store, and
/// collects the records that the peer is missing.
/// @param store configuration of this process
/// @param frame config_records, config_request, or a frame that carries the peer's configuration
/// offset; other frames are ignored
/// @return the frame to send back; empty if there is nothing to send
std::optional<wire::frame> handle_config_frame(config_store& store, const wire::frame& frame);

} // namespace medlaryoke::controllers
