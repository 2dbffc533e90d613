#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/keyed_topic.h"
#include "policy/log_position.h"

namespace medlaryoke::policy {

struct evacuation_options {
    /// Time for which an evacuation that a restored store no longer lists stays in force. The
    /// operator writes it again meanwhile, if it was not taken back.
    duration rewrite_time = std::chrono::seconds(15);
};

/// The data centres whose upstreams get no requests because an operator asked for it. They are
/// read from the store, and from peers that have read further. Not thread safe.
class evacuations {
public:
    explicit evacuations(evacuation_options options = {}) : options_(options) {}

    /// Takes over a record of the store.
    /// @param data_centre name of the data centre
    /// @param is_asked whether its evacuation is asked for; false if the request was removed
    /// @param origin whether the record may be older than what is known
    /// @param now the current time
    void on_record(const std::string& data_centre, bool is_asked, change_origin origin,
                   time_point now);

    /// Sets how far the store was read.
    void set_position(const log_position& position) { this->own_position_ = position; }

    /// Takes over what a peer knows, if it has read further.
    /// @param position how far the peer has read the store
    /// @param data_centres those that it evacuates
    void on_peer(const log_position& position, const std::vector<std::string>& data_centres);

    /// Ends the evacuations that were lost in a restore and not written again.
    /// @param now the current time
    void expire(time_point now);

    /// @return the data centres that are evacuated, sorted
    [[nodiscard]] std::vector<std::string> data_centres() const;

    /// @return how far the store was read by this gateway or the peer that it follows
    [[nodiscard]] log_position position() const
    {
        return std::max(this->own_position_, this->peer_position_);
    }

private:
    evacuation_options options_;
    /// By name; when the evacuation ends, if a restored store does not list it.
    std::map<std::string, std::optional<time_point>> own_;
    log_position own_position_;
    std::vector<std::string> from_peer_;
    log_position peer_position_;
};

} // namespace medlaryoke::policy
