#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace medlaryoke {

/// Serializes JSON on one line. Strings may contain bytes of requests or logs that are not valid
/// UTF-8. These bytes are replaced instead of causing an exception.
/// @param value the value
/// @return the text
std::string to_json_text(const nlohmann::json& value);

} // namespace medlaryoke
