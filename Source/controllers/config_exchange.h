#pragma once

#include <cstdint>
#include <optional>

#include "controllers/config_store.h"
#include "model/wire.pb.h"

namespace medlaryoke::controllers {

/// @param store configuration of this process
/// @param offset last record that the other side has folded
/// @return the records that the other side lacks, empty if it lacks none
std::optional<wire::frame> make_config_update(const config_store& store, std::uint64_t offset);

/// Handles what another process says about its configuration: folds records that are newer, and
/// finds the records that the other side lacks.
/// @param store configuration of this process
/// @param frame config_records, config_request, or a frame that carries a configuration offset;
/// others are ignored
/// @return what to send back, if anything
std::optional<wire::frame> answer_config_frame(config_store& store, const wire::frame& frame);

} // namespace medlaryoke::controllers
