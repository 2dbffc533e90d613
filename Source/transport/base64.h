#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlaryoke::transport {

/// @param data any bytes
/// @return the bytes in base64 with padding, without line breaks
std::string encode_base64(std::string_view data);

/// @param text base64 with padding, without line breaks
/// @return the bytes, or nothing if the text is malformed
std::optional<std::string> decode_base64(std::string_view text);

} // namespace medlaryoke::transport
