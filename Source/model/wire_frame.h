#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "model/wire.pb.h"

namespace medlaryoke {

/// Version of the messages between processes. A frame of another version is answered with
/// protocol_error.
constexpr std::uint32_t wire_protocol_version = 1;

/// Largest frame that is sent or accepted.
constexpr std::size_t max_frame_bytes = 16U * 1024U * 1024U;

/// Sets the protocol version of a frame and serializes it.
/// @param frame the frame; its protocol version is overwritten
/// @return the bytes of one ZeroMQ message
/// @throws error of kind too_large if the frame exceeds max_frame_bytes
std::string encode_frame(wire::frame frame);

/// Parses the bytes of one ZeroMQ message.
/// @param bytes the message
/// @return the frame; its body is set
/// @throws error of kind invalid_argument for malformed bytes or an unknown body, too_large for a
/// frame that exceeds max_frame_bytes, protocol_mismatch for another protocol version
wire::frame decode_frame(std::string_view bytes);

} // namespace medlaryoke
