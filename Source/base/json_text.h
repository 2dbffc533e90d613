#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace medlaryoke {

/// Writes JSON on one line. Strings may quote bytes of requests or logs that are not valid UTF-8;
/// these are replaced instead of ending in an exception.
/// @param value the value
/// @return the text
std::string to_json_text(const nlohmann::json& value);

} // namespace medlaryoke
