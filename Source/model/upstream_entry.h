#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/digest.h"

namespace medlaryoke::model {

/// The lock-step group that an engine belongs to.
struct group_membership {
    std::string group;
    std::uint64_t epoch = 0; ///< increases each time the group forms
    unsigned rank = 0;       ///< rank of the engine, from 0
    unsigned size = 0;       ///< number of ranks
    bool open = true;        ///< false while a rank is missing
    bool operator==(const group_membership&) const = default;
};

/// The entry that an upstream publishes about itself in the list of upstreams.
struct upstream_entry {
    std::string id; ///< identifies a process incarnation; the next one may reuse it
    std::string service;
    std::string address;       ///< IP address and port
    std::string agent_address; ///< IP address and port of its agent; empty if there is none
    std::string data_centre;
    unsigned slots = 1;          ///< number of requests that it serves concurrently
    bool draining = false;       ///< receives no new requests
    bool evacuated = false;      ///< its data centre is evacuated; it receives no new requests
    duration cold_time{};        ///< how much longer it is cold, as of its last record
    std::int64_t started_at = 0; ///< Unix milliseconds by the upstream's clock; to compare only
    std::optional<group_membership> group;

    bool operator==(const upstream_entry&) const = default;
};

/// @param entry entry of an upstream
/// @return hash of the id and the start time
inline std::uint64_t incarnation_hash(const upstream_entry& entry)
{
    return hash64(entry.id, static_cast<std::uint64_t>(entry.started_at));
}

} // namespace medlaryoke::model
