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

/// Requests a fencing token from the store that is higher than all tokens issued before. The
/// callback gets an empty value if the store does not answer.
using fencing_token_source = std::function<void(
    const std::string& group, std::function<void(std::optional<std::uint64_t>)> done)>;

/// Runs a balancer for each lock-step group while this process is the coordinator. Must be used on
/// the thread of a single-threaded runtime.
class group_coordination {
public:
    /// @param context runs the balancers
    /// @param clock source of the current time
    /// @param request_token requests fencing tokens
    /// @param open_engine creates the client that reaches an engine without its agent
    group_coordination(transport::runtime& context, const clock_source& clock,
                       fencing_token_source request_token,
                       group_balancer::engine_factory open_engine);

    /// Updates the set of groups. A group whose ranks or shape changed gets a new balancer.
    /// @param upstreams all known upstreams
    /// @param config configuration with the expert layout of each service
    void update(const std::vector<model::upstream_entry>& upstreams,
                const model::route_config& config);

    /// Starts or stops coordinating.
    /// @param is_leader whether this process is the coordinator
    /// @param now the current time
    void set_leader(bool is_leader, time_point now);

    /// @param engines_check_tokens whether the engines themselves refuse orders with a lower token;
    /// applies to balancers that begin later
    void set_engines_check_tokens(bool engines_check_tokens)
    {
        this->options_.engines_check_tokens = engines_check_tokens;
    }

    /// @return number of times that a group was held for longer than its limit
    [[nodiscard]] std::uint64_t long_holds() const;

    /// @return number of completed switches of maps
    [[nodiscard]] std::uint64_t switches() const;

private:
    struct group_state {
        policy::group_shape shape;
        std::vector<rank_address> ranks;
        duration report_lag{};                    ///< maximum age of reports read without the agent
        std::shared_ptr<group_balancer> balancer; ///< null while not coordinating
        time_point next_attempt{};
        bool token_requested = false; ///< a request for a token is pending
    };

    void begin(const std::string& name, group_state& group, time_point now);
    void end(group_state& group);

    transport::runtime& context_;
    const clock_source& clock_;
    fencing_token_source request_token_;
    group_balancer::engine_factory open_engine_;
    event_log log_{"experts"};
    std::map<std::string, group_state> groups_;
    bool is_leader_ = false;
    balancer_options options_;
    std::uint64_t past_switches_ = 0;   ///< switches of balancers that were stopped
    std::uint64_t past_long_holds_ = 0; ///< long holds seen by balancers that were stopped
};

} // namespace medlaryoke::experts
