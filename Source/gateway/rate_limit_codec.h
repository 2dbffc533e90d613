#pragma once

#include "base/clock.h"
#include "model/wire.pb.h"
#include "policy/peer_table.h"

namespace medlaryoke::gateway {

/// Adds what a heartbeat says of rate limits to its message.
/// @param heartbeat the heartbeat
/// @param now the current time
/// @param message receives limits, permits and demand
void write_rate_limits(const policy::peer_heartbeat& heartbeat, time_point now,
                       wire::gateway_beat& message);

/// Reads what the message of a heartbeat says of rate limits. Values that are no finite numbers, or
/// negative ones, are left out.
/// @param message of a peer
/// @param now the current time
/// @param heartbeat receives limits, permits and demand
void read_rate_limits(const wire::gateway_beat& message, time_point now,
                      policy::peer_heartbeat& heartbeat);

} // namespace medlaryoke::gateway
