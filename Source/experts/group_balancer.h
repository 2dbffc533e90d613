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
#include "experts/rank_link.h"
#include "policy/expert_map.h"
#include "policy/map_rollout.h"
#include "policy/map_search.h"
#include "transport/runtime.h"

namespace medlaryoke::experts {

/// Intervals and thresholds of a group_balancer.
struct balancer_options {
    /// Time between polls of the ranks. Expert popularity may shift within a few seconds.
    duration poll_interval = std::chrono::milliseconds(200);
    /// Number of ranks whose token counts are read in each poll. They stand for the other ranks,
    /// whose requests choose experts in similar proportions.
    unsigned ranks_counted_per_poll = 24;
    /// Fraction of the accumulated counts that is kept at each poll; the rest decays.
    double count_retention = 0.35;
    /// Number of tokens that must have been counted in every set before a search starts.
    double min_tokens_per_set = 3000;
    /// Time that a rank may spend on copying experts for one switch. An early switch with the few
    /// most effective copies serves better than a complete but late one, and another can follow.
    duration copy_time_budget = std::chrono::milliseconds(120);
    /// A single change of the map must lower the highest load of its set by at least this fraction
    /// of the mean load.
    double min_gain = 0.03;
    /// A switch must shorten the step time by at least this fraction.
    double min_work_reduction = 0.12;
    /// Time between repeats of unconfirmed orders during a switch.
    duration order_resend_interval = std::chrono::milliseconds(120);
    /// Time between polls of the ranks during a switch.
    duration rollout_poll_interval = std::chrono::milliseconds(60);
    /// Pause between two slices of a search, in which the thread serves requests.
    duration search_slice_interval = std::chrono::milliseconds(2);
    /// Fraction of the step time that the experts take; only this part depends on the placement.
    double expert_work_fraction = 0.85;
    /// Pause after a switch that was given up, which doubles with each one in a row.
    duration min_retry_pause = std::chrono::milliseconds(250);
    duration max_retry_pause = std::chrono::seconds(4); ///< limit of the doubled pause
    /// Limit of the pause while the group is armed or held, so that it is not held much longer.
    duration max_cleanup_pause = std::chrono::milliseconds(500);
    /// A group that is held for longer is reported as held too long. It covers an order that is
    /// executed as late as the platform states, and the takeover by another coordinator.
    duration hold_limit = std::chrono::seconds(15);
    /// Whether the engines themselves refuse orders with a lower token.
    bool engines_check_tokens = true;
};

/// Addresses of one rank of a group.
struct rank_address {
    std::string engine; ///< IP address and port
    std::string agent;  ///< IP address and port

    bool operator==(const rank_address&) const = default;
};

/// Balances the experts of one lock-step group over its ranks while their popularity shifts: it
/// polls how many tokens each expert got, searches for a better placement and rolls it out. Orders
/// carry a fencing token; the balancer stops for good once an order is refused because a
/// coordinator with a higher token is active. Must be used on the thread of a single-threaded
/// runtime.
class group_balancer : public std::enable_shared_from_this<group_balancer> {
public:
    using engine_factory = std::function<std::unique_ptr<lockstep_engine>(const std::string&)>;

    /// @param context runs the calls and timers
    /// @param clock source of the current time
    /// @param name name of the group
    /// @param shape dimensions of the group
    /// @param ranks addresses, indexed by rank
    /// @param open_engine creates the client that reaches an engine without its agent
    /// @param report_lag maximum age of a report that is read without the agent
    /// @param options intervals and thresholds
    group_balancer(transport::runtime& context, const clock_source& clock, std::string name,
                   const policy::group_shape& shape, std::vector<rank_address> ranks,
                   const engine_factory& open_engine, duration report_lag,
                   balancer_options options = {});

    /// Starts polling and balancing.
    /// @param token fencing token; higher than those of all earlier coordinators of the group
    void start(std::uint64_t token);

    /// Stops balancing. A switch in progress is finished first and keeps this object alive until
    /// then, because a group that is left on hold runs no step until another coordinator lifts the
    /// hold.
    void stop();

    /// @return whether an order was refused because another coordinator has taken over
    [[nodiscard]] bool is_fenced() const { return this->fenced_; }

    [[nodiscard]] const std::vector<rank_address>& ranks() const { return this->addresses_; }
    [[nodiscard]] const policy::group_shape& shape() const { return this->shape_; }

    /// @return number of times that the group was held for longer than the hold limit
    [[nodiscard]] std::uint64_t long_holds() const { return this->long_holds_; }

    /// @return number of completed switches
    [[nodiscard]] std::uint64_t switches() const { return this->switches_; }

private:
    struct rank_state {
        std::shared_ptr<rank_link> link;
        std::optional<policy::rank_report> report;
        time_point reported_at{};
        std::optional<std::vector<std::uint64_t>> counts; ///< latest cumulative counts
        std::optional<held_experts> experts;
        bool poll_pending = false;         ///< a poll has not been answered yet
        std::uint64_t pending_rollout = 0; ///< rollout of the last rollout request sent
        std::uint64_t pending_round = 0;   ///< round of the last rollout request sent
        bool order_pending = false;        ///< the last rollout request has not been answered yet
    };

    /// The last order and its encoding, which all ranks get.
    struct order_encoding {
        std::optional<policy::rank_order> order;
        std::shared_ptr<const std::string> bytes;
    };

    void tick();
    void poll_ranks();

    /// Checks that a reply comes from the engine of a rank. Whether all ranks are armed is decided
    /// by their reports, so the report of another engine must not stand in for one of them.
    /// @return the reply; without result and data if another engine reports
    const rank_reply& checked(unsigned rank, const rank_reply& reply);

    void on_poll_reply(unsigned rank, bool with_counts, const rank_reply& received);
    void add_counts(rank_state& rank, const std::vector<std::uint64_t>& counts);
    [[nodiscard]] std::optional<policy::rank_report> consistent_report() const;
    [[nodiscard]] policy::group_condition group_condition() const;
    [[nodiscard]] unsigned holding_rank() const;

    /// Notes whether the group is held, and for how long it has been.
    void check_hold();
    void update_current(const policy::rank_report& state);
    /// @return whether the experts that a rank reports are possible in this group
    [[nodiscard]] bool fits_shape(const held_experts& held) const;
    void start_search(const policy::rank_report& state);
    void continue_search();
    void finish_search();
    void begin_rollout(policy::expert_map target, policy::group_condition condition);
    void advance_rollout();
    void send(unsigned rank, const std::optional<policy::rank_order>& order);
    void on_rollout_reply(std::uint64_t rollout, std::uint64_t round, unsigned rank,
                          const std::optional<policy::rank_order>& order,
                          const rank_reply& received);
    void end_rollout();
    [[nodiscard]] double relative_step_time(double skew) const;
    [[nodiscard]] std::vector<double> rank_slowdowns() const;

    transport::runtime& context_;
    const clock_source& clock_;
    std::string name_;
    policy::group_shape shape_;
    std::vector<rank_address> addresses_;
    balancer_options options_;
    std::vector<rank_state> ranks_;
    event_log log_{"experts"};
    std::uint64_t token_ = 0; ///< fencing token of this coordinator
    bool stopped_ = false;
    std::shared_ptr<group_balancer> keep_alive_; ///< this object, from stop() to the rollout's end
    bool fenced_ = false;                        ///< another coordinator has taken over
    std::uint64_t proposal_count_ = 0;           ///< maps proposed with this token
    std::uint64_t switches_ = 0;                 ///< number of completed switches
    std::uint64_t highest_held_step_ = 0; ///< highest step that a rollout with this token held
    /// Epoch in which this balancer surveyed the group and finished every rollout since.
    std::optional<std::uint64_t> surveyed_epoch_;
    unsigned failures_in_a_row_ = 0;       ///< rollouts that ended without a switch
    time_point next_rollout_{};            ///< when the next switch may begin
    time_point next_cleanup_{};            ///< when an unfinished switch may be cleared
    std::optional<time_point> held_since_; ///< when the group was first seen held; empty if not
    bool is_hold_reported_ = false;        ///< the current hold was counted as too long
    std::uint64_t long_holds_ = 0;         ///< holds that were counted as too long
    std::optional<policy::expert_map> current_; ///< map in use; empty while unknown
    std::uint64_t current_epoch_ = 0;           ///< epoch of the group in which current_ is in use
    std::vector<std::vector<double>> loads_;    ///< decayed token counts by set and expert
    unsigned pending_count_replies_ = 0;        ///< polls with counts that were not answered yet
    bool searched_since_poll_ = false;          ///< a search was considered after the last poll
    std::optional<policy::map_search> search_;
    std::unique_ptr<policy::map_rollout> rollout_;
    order_encoding encoded_order_;
    std::uint64_t rollout_sequence_ = 0; ///< number of rollouts begun, to recognise late replies
    std::uint64_t started_round_ = 0;    ///< last round whose orders were sent
    time_point next_poll_{};
    time_point next_order_send_{};
    time_point next_rollout_poll_{};
    time_point rollout_started_{};
};

} // namespace medlaryoke::experts
