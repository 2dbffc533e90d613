#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlaryoke::transport {

/// Encodes bytes in base64.
/// @param data the bytes
/// @return the text, with padding and without line breaks
std::string encode_base64(std::string_view data);

/// Decodes base64.
/// @param text base64 with padding and without line breaks
/// @return the bytes, empty if the text is malformed
std::optional<std::string> decode_base64(std::string_view text);

} // namespace medlaryoke::transport
