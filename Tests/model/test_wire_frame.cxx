#include "model/wire_frame.h"

#include <optional>
#include <random>

#include <criterion/criterion.h>

#include "base/error.h"

using medlaryoke::decode_frame;
using medlaryoke::encode_frame;
using medlaryoke::error_kind;

namespace {

std::optional<error_kind> decode_error(std::string_view bytes)
{
    try {
        decode_frame(bytes);
    }
    catch (const medlaryoke::error& e) {
        return e.kind();
    }
    return std::nullopt;
}

std::string sample_frame()
{
    medlaryoke::wire::frame frame;
    auto* body = frame.mutable_dispatch();
    body->set_dispatch_id(7);
    body->set_request_id("req-1");
    body->set_body(std::string(100, 'x'));
    return encode_frame(frame);
}

} // namespace

// Guards against a frame that changes when it is encoded and decoded.
Test(wire_frame, round_trip)
{
    const auto frame = decode_frame(sample_frame());
    cr_assert(frame.dispatch().dispatch_id() == 7);
    cr_assert(frame.dispatch().body().size() == 100);
}

// Guards against accepting a truncated frame, an unknown body or another protocol version.
Test(wire_frame, rejects_malformed_frames)
{
    const auto bytes = sample_frame();
    cr_assert(decode_error(bytes.substr(0, bytes.size() - 1)) == error_kind::invalid_argument);
    cr_assert(decode_error("") == error_kind::protocol_mismatch);
    medlaryoke::wire::frame frame;
    frame.set_protocol_version(medlaryoke::wire_protocol_version + 1);
    cr_assert(decode_error(frame.SerializeAsString()) == error_kind::protocol_mismatch);
    frame.set_protocol_version(medlaryoke::wire_protocol_version);
    cr_assert(decode_error(frame.SerializeAsString()) == error_kind::invalid_argument);
}

// Guards against a malformed frame that ends the process. The decoder may only throw
// medlaryoke::error.
Test(wire_frame, survives_random_mutations)
{
    std::mt19937 random(20261204);
    const auto sample = sample_frame();
    for (int round = 0; round < 20000; ++round) {
        auto bytes = sample;
        bytes.resize(random() % (bytes.size() + 1));
        for (unsigned n = random() % 8; n > 0 && !bytes.empty(); --n) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        decode_error(bytes);
    }
}
