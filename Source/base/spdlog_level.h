#pragma once

#include <spdlog/common.h>

#include "base/logging.h"

namespace medlaryoke {

/// Converts a log level to spdlog's type. Only for the sources of this folder that use spdlog.
/// @param level severity of a line
/// @return the level of the same name in spdlog
inline spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace medlaryoke
