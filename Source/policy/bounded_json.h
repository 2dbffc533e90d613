#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace medlaryoke::policy {

/// Parses JSON that comes from the log or from a peer.
/// @param text the JSON text
/// @return the value, nested at most 64 levels deep, so that it can be written again: the library
/// writes nested values recursively
/// @throws nlohmann::json::exception for malformed or too deeply nested text
nlohmann::json parse_bounded(std::string_view text);

} // namespace medlaryoke::policy
