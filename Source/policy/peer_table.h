#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/load_reports.h"
#include "policy/log_position.h"
#include "policy/prompt_quarantine.h"
#include "policy/shared_rate_limits.h"
#include "policy/store_contact.h"

namespace medlaryoke::policy {

/// Heartbeat that a gateway sends to the other gateways.
struct peer_heartbeat {
    std::string instance;          ///< name of the gateway
    std::uint64_t incarnation = 0; ///< random number, chosen at each start
    std::uint64_t number = 0;      ///< sequence number of the heartbeat within the incarnation
    std::string beat_address;      ///< where the gateway receives heartbeats
    std::string control_address;
    std::string caller_address;
    std::string data_centre;
    bool serving = false; ///< accepts requests; false while it starts or shuts down
    std::uint64_t config_version = 0;
    std::vector<std::string> live_addresses; ///< beat addresses of gateways that it hears
    log_position upstreams_position;         ///< how far it has read the list of upstreams
    std::unordered_map<std::uint64_t, unsigned> running; ///< running requests by upstream id
    std::optional<quarantine_report>
        quarantine;                           ///< what the gateway knows of crashes, if it is new
    std::vector<rate_limit_statement> limits; ///< what it reports of rate limits
    std::vector<rate_permit> permits;         ///< issued since its last heartbeat
    service_demand demand;                    ///< for services with limited upstreams
    std::optional<store_report> store;        ///< empty if the store does not answer the gateway
    log_position operator_position;           ///< how far it has read what the operator wrote
    std::vector<std::string> evacuated;       ///< data centres that it evacuates
    std::vector<std::uint64_t> leaving;       ///< listed upstreams that have said that they leave
};

/// Timeouts of a peer_table.
struct peer_table_options {
    /// Time without a heartbeat after which a peer counts as silent. It exceeds three times the
    /// longest heartbeat interval, so that a few consecutive lost datagrams do not make a peer
    /// silent.
    duration silence_timeout = std::chrono::milliseconds(1000);
    /// Time without a heartbeat after which a peer is erased.
    duration erase_timeout = std::chrono::seconds(30);
    /// If the time between two calls of on_tick() exceeds this, the local process was stalled and
    /// the stall is not counted as silence of the peers.
    duration local_stall_threshold = std::chrono::milliseconds(400);
};

/// Tracks the other gateways by their heartbeats. Not thread safe.
class peer_table {
public:
    explicit peer_table(peer_table_options options = {});

    /// Processes a heartbeat. A heartbeat that is older than the last one of its peer is ignored.
    /// @param heartbeat the heartbeat
    /// @param now the current time
    /// @return whether the peer was unknown or silent before
    bool on_heartbeat(const peer_heartbeat& heartbeat, time_point now);

    /// @return whether a heartbeat is newer than the last one of its peer
    [[nodiscard]] bool is_new(const peer_heartbeat& heartbeat) const;

    /// Detects stalls of the local process and erases peers without heartbeats. Must be called
    /// regularly, more often than the stall threshold.
    void on_tick(time_point now);

    /// @return peers that are not silent, sorted by name; valid until the table changes
    [[nodiscard]] std::vector<const peer_heartbeat*> alive_peers(time_point now) const;

    /// @return peers that are not silent, and silent ones that a peer hears which is not; valid
    /// until the table changes
    [[nodiscard]] std::vector<const peer_heartbeat*> reachable_peers(time_point now) const;

    /// @return running requests of the peers that are not silent, summed by upstream id
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> running(time_point now) const;

    /// @return age of the numbers that running() sums
    [[nodiscard]] load_reports reports(time_point now) const;

    /// @return number of gateways among which a limit of all gateways is divided: this one and its
    /// peers, whether silent or not, as silent ones may only be cut off. A process that has just
    /// started counts the listed ones too.
    [[nodiscard]] std::size_t sharing_gateways(time_point now) const;

    /// @param count number of peers that the store or the settings list, whether they run or not
    void set_listed(std::size_t count) { this->listed_count_ = count; }

    /// @return number of peers that the store or the settings list
    [[nodiscard]] std::size_t listed() const { return this->listed_count_; }

    /// @return number of peers in the table, whether silent or not
    [[nodiscard]] std::size_t known() const { return this->peers_.size(); }

private:
    struct peer_state {
        peer_heartbeat heartbeat;
        time_point last_heard{};
    };

    [[nodiscard]] bool is_silent(const peer_state& it, time_point now) const;
    static void store(peer_state& it, const peer_heartbeat& heartbeat, time_point now);

    peer_table_options options_;
    std::map<std::string, peer_state> peers_;
    time_point first_tick_{};
    time_point last_tick_{};
    std::size_t listed_count_ = 0;
};

} // namespace medlaryoke::policy
