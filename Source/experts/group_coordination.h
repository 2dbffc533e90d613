#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "experts/group_balancer.h"
#include "model/route_config.h"
#include "model/upstream_entry.h"
#include "transport/runtime.h"

namespace medlaryoke::experts {

/// Gets a token that is higher than all given out before, from the store.
using token_source = std::function<void(const std::string& group,
                                        std::function<void(std::optional<std::uint64_t>)> done)>;

/// Runs a balancer for each lock-step group while this process is the coordinator. Used on the
/// thread of a runtime with one thread.
class group_coordination {
public:
    /// @param context runs the balancers
    /// @param clock the time
    /// @param take_token gets tokens
    /// @param open_engine makes the way to an engine from afar
    group_coordination(transport::runtime& context, const clock_source& clock,
                       token_source take_token, group_balancer::engine_factory open_engine);

    /// Learns which groups there are.
    /// @param upstreams the list of upstreams
    /// @param config shapes of the groups
    void update(const std::vector<model::upstream_entry>& upstreams,
                const model::route_config& config);

    /// Starts or stops coordinating.
    /// @param leads whether this process is the coordinator
    /// @param now the current time
    void lead(bool leads, time_point now);

    /// @return switches of maps that were completed
    [[nodiscard]] std::uint64_t switches() const;

private:
    struct group_state {
        policy::group_shape shape;
        std::vector<rank_address> ranks;
        duration report_lag{};                    ///< of reports that are read from afar
        std::shared_ptr<group_balancer> balancer; ///< null: not coordinating
        time_point next_try{};
        bool asking = false; ///< for a token
    };

    void begin(const std::string& name, group_state& group, time_point now);
    static void end(group_state& group);

    transport::runtime& context_;
    const clock_source& clock_;
    token_source take_token_;
    group_balancer::engine_factory open_engine_;
    event_log log_{"experts"};
    std::map<std::string, group_state> groups_;
    bool leads_ = false;
    std::uint64_t ended_switches_ = 0;
};

} // namespace medlaryoke::experts
