#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "model/wire.pb.h"
#include "policy/prompt_quarantine.h"

namespace medlaryoke::gateway {

/// Adds a report to a heartbeat.
void write_report(const policy::quarantine_report& report, wire::gateway_beat& message);

/// @param message heartbeat of a peer
/// @return the report in it, which may be empty
policy::quarantine_report read_report(const wire::gateway_beat& message);

/// Encodes a quarantine for the store.
/// @param part the part and the time of its quarantine
/// @param now the current time
/// @param unix_now the same by the time of day
/// @return bytes that decode_quarantine accepts
std::string encode_quarantine(const policy::quarantined_part& part, time_point now,
                              std::chrono::system_clock::time_point unix_now);

/// @param part name of the part
/// @param record the stored bytes
/// @param epoch of the store that holds them
/// @param now the current time
/// @param unix_now the same by the time of day
/// @return the quarantine; empty if it has passed or the bytes cannot be read
std::optional<policy::quarantined_part>
decode_quarantine(const std::string& part, const std::string& record, std::uint64_t epoch,
                  time_point now, std::chrono::system_clock::time_point unix_now);

} // namespace medlaryoke::gateway
