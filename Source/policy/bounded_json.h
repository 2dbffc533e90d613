#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace medlaryoke::policy {

/// Parses JSON that comes from the log or from a peer, and limits its nesting depth.
/// The limit exists because the library serialises nested values recursively.
/// @param text the JSON text
/// @return the value, nested at most 64 levels deep
/// @throws nlohmann::json::exception for malformed or too deeply nested text
nlohmann::json parse_bounded(std::string_view text);

} // namespace medlaryoke::policy
