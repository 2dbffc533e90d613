#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace medlaryoke::policy {

/// Bounds of upstream_notices.
struct upstream_notice_options {
    /// Longest time for which an upstream is believed to want nothing. A longer one is more likely
    /// a mistake, and an upstream that still wants nothing says so again.
    duration max_pause = std::chrono::seconds(60);
    /// Time after which an upstream that is not listed any more is forgotten; longer than a copy
    /// from which the store is restored is old.
    duration unlisted_time = std::chrono::minutes(2);
    /// Upstreams that are remembered as leaving; bounds what corrupt messages can make a gateway
    /// keep.
    std::size_t max_leaving = 8192;
};

/// What upstreams have said of themselves in their answers. Upstreams are identified by the hash of
/// their id and start time, so the next incarnation begins anew. Not thread safe.
///
/// | notice  | holds                     | known to                 |
/// | ------- | ------------------------- | ------------------------ |
/// | leaving | for the whole incarnation | all gateways             |
/// | pause   | for the time that it names | the gateway that heard it |
class upstream_notices {
public:
    explicit upstream_notices(upstream_notice_options options = {}) : options_(options) {}

    /// Replaces the listed upstreams of a service.
    /// @param service hash of its name
    /// @param upstreams hashes of their ids and start times
    /// @param now the current time
    void set_upstreams(std::uint64_t service, const std::vector<std::uint64_t>& upstreams,
                       time_point now);

    /// Records that an upstream leaves.
    /// @return whether this was unknown
    bool on_leaving(std::uint64_t upstream, time_point now);

    /// Records that an upstream wants no requests of this gateway for a time.
    /// @param asked the time that it named; not negative
    /// @return the time that is believed
    duration on_pause(std::uint64_t upstream, duration asked, time_point now);

    /// @return whether an upstream has said that it leaves
    [[nodiscard]] bool is_leaving(std::uint64_t upstream) const
    {
        return !this->leaving_.empty() && this->leaving_.contains(upstream);
    }

    /// @return until when an upstream wants no requests of this gateway; empty if it takes them
    [[nodiscard]] std::optional<time_point> paused_until(std::uint64_t upstream,
                                                         time_point now) const;

    /// @return upstreams that leave, to be told to the other gateways
    [[nodiscard]] std::vector<std::uint64_t> leaving() const;

    /// Forgets upstreams that have not been listed for a while, and pauses that have ended.
    void on_tick(time_point now);

private:
    upstream_notice_options options_;
    std::unordered_map<std::uint64_t, std::uint64_t> services_; ///< by listed upstream
    std::unordered_map<std::uint64_t, time_point> leaving_;     ///< when it was last listed
    std::unordered_map<std::uint64_t, time_point> pauses_;      ///< when they end
};

} // namespace medlaryoke::policy
