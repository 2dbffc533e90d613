#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace medlaryoke::model {

/// The lock-step group that an engine belongs to.
struct group_membership {
    std::string group;
    std::uint64_t epoch = 0; ///< grows each time the group forms
    unsigned rank = 0;
    unsigned size = 0; ///< number of ranks
    bool open = true;  ///< false while a rank is missing
    bool operator==(const group_membership&) const = default;
};

/// What an upstream says of itself in the list of upstreams.
struct upstream_entry {
    std::string id; ///< of one incarnation; now and then used again by the next one
    std::string service;
    std::string address;       ///< IP address and port
    std::string agent_address; ///< of the agent beside it; empty if there is none
    std::string data_centre;
    unsigned slots = 1;          ///< requests that it serves at once
    bool draining = false;       ///< gets no new requests
    std::int64_t started_at = 0; ///< Unix milliseconds by the upstream's clock; compare only
    std::optional<group_membership> group;

    bool operator==(const upstream_entry&) const = default;
};

} // namespace medlaryoke::model
