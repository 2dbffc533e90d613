#pragma once

#include "platform/node_settings.h"

namespace medlaryoke::commands {

/// Loads the settings of a process that starts. The file may still be being written, so settings
/// that cannot be read are read again for a while.
/// @param metrics_port see platform::load_node_settings
/// @return the settings
/// @throws error of the last attempt
platform::node_settings load_startup_settings(unsigned metrics_port);

} // namespace medlaryoke::commands
