#include "controllers/config_exchange.h"

#include <algorithm>

namespace medlaryoke::controllers {

std::optional<wire::frame> make_config_update(const config_store& store, std::uint64_t offset)
{
    if (store.view()->offset <= offset) {
        return std::nullopt;
    }
    wire::frame frame;
    *frame.mutable_config_records() = store.records_from(offset + 1);
    return frame;
}

std::optional<wire::frame> handle_config_frame(config_store& store, const wire::frame& frame)
{
    switch (frame.body_case()) {
    case wire::frame::kConfigRecords:
        store.fold(frame.config_records());
        return std::nullopt;
    case wire::frame::kConfigRequest:
        return make_config_update(
            store, std::max<std::uint64_t>(frame.config_request().from_offset(), 1) - 1);
    case wire::frame::kHeartbeat:
        return make_config_update(store, frame.heartbeat().config_offset());
    case wire::frame::kPeerState:
        return make_config_update(store, frame.peer_state().config_offset());
    case wire::frame::kWelcome:
        return make_config_update(store, frame.welcome().config_offset());
    default:
        return std::nullopt;
    }
}

} // namespace medlaryoke::controllers
