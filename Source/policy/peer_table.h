#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// What a gateway tells the others in each beat.
struct peer_beat {
    std::string instance;
    std::uint64_t incarnation = 0; ///< random, drawn at each start
    std::uint64_t number = 0;      ///< counts the beats of an incarnation
    std::string beat_address;
    std::string control_address;
    std::string caller_address;
    std::string data_centre;
    bool serving = false; ///< takes requests; false while it starts or leaves
    std::uint64_t config_version = 0;
    std::uint64_t upstreams_position = 0; ///< how far it has read the list of upstreams
    std::unordered_map<std::uint64_t, unsigned> running; ///< requests by upstream
};

struct peer_table_options {
    /// A peer that was silent for so long is left out. Above the longest beat interval by enough
    /// that three lost datagrams in a row do not matter.
    duration silence = std::chrono::milliseconds(1000);
    /// A silent peer is forgotten after this time.
    duration forget = std::chrono::seconds(30);
    /// After the own process stood still for longer than this, silence proves nothing.
    duration own_stall = std::chrono::milliseconds(400);
};

/// The other gateways, by their beats. Not thread safe.
class peer_table {
public:
    explicit peer_table(peer_table_options options = {});

    /// Learns from a beat. Older ones than the last are ignored.
    /// @return whether the peer was unknown or silent before
    bool on_beat(const peer_beat& beat, time_point now);

    /// To be called regularly, so that an own standstill is noticed.
    void on_tick(time_point now);

    /// @return peers that are not silent, in order of their names; until the table changes
    [[nodiscard]] std::vector<const peer_beat*> alive(time_point now) const;

    /// @return requests that the peers alive run, by upstream
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> running(time_point now) const;

    /// @return peers that were heard of lately, whether silent or not
    [[nodiscard]] std::size_t known() const { return this->peers_.size(); }

private:
    struct peer {
        peer_beat beat;
        time_point heard{};
    };

    [[nodiscard]] bool is_silent(const peer& it, time_point now) const;

    peer_table_options options_;
    std::map<std::string, peer> peers_;
    time_point last_tick_{};
};

} // namespace medlaryoke::policy
