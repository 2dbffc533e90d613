#include "model/wire_frame.h"

#include <fmt/format.h>

#include "base/error.h"

namespace medlaryoke {

namespace {

void check_size(std::size_t n)
{
    if (n > max_frame_bytes) {
        throw error(
            error_kind::too_large,
            fmt::format("frame of {} bytes exceeds the limit of {} bytes", n, max_frame_bytes),
            "Send a smaller request body.");
    }
}

} // namespace

std::string encode_frame(wire::frame frame)
{
    frame.set_protocol_version(wire_protocol_version);
    check_size(frame.ByteSizeLong());
    return frame.SerializeAsString();
}

wire::frame decode_frame(std::string_view bytes)
{
    check_size(bytes.size());
    wire::frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw error(error_kind::invalid_argument,
                    fmt::format("frame of {} bytes is malformed", bytes.size()),
                    "Check that the sender is a medlaryoke process.");
    }
    if (frame.protocol_version() != wire_protocol_version) {
        throw error(error_kind::protocol_mismatch,
                    fmt::format("frame has protocol version {}, this process supports {}",
                                frame.protocol_version(), wire_protocol_version),
                    "Run releases that share a protocol version.");
    }
    if (frame.body_case() == wire::frame::BODY_NOT_SET) {
        throw error(error_kind::invalid_argument, "frame has no body known to this release",
                    "Upgrade this process to the sender's release.");
    }
    return frame;
}

} // namespace medlaryoke
