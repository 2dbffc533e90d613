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

struct balancer_options {
    /// Between looks at the ranks. Popularity may shift within a few seconds.
    duration poll_interval = std::chrono::milliseconds(200);
    /// Ranks whose counts are read in one look; the others' requests choose alike.
    unsigned counted_ranks = 24;
    /// Part of the older counts that stays at each look.
    double memory = 0.35;
    /// Tokens of a set that must have been counted before its placement is searched.
    double least_tokens = 3000;
    /// What ranks may spend on copying experts for one switch: a switch soon after a shift, with
    /// the few copies that bring most, serves better than a late one, and another can follow.
    duration copying = std::chrono::milliseconds(120);
    /// Least fall of the highest load, in parts of the mean, that is worth one change.
    double min_gain = 0.03;
    /// Least part by which a switch must shorten the work of passes.
    double min_saving = 0.12;
    duration resend_interval = std::chrono::milliseconds(120);
    duration rollout_poll_interval = std::chrono::milliseconds(60);
    /// Between two slices of a search.
    duration search_pause = std::chrono::milliseconds(2);
    double expert_part = 0.85; ///< part of the work for tokens that experts do
};

/// One rank of a group.
struct rank_address {
    std::string engine; ///< IP address and port
    std::string agent;  ///< IP address and port

    bool operator==(const rank_address&) const = default;
};

/// Keeps the experts of one lock-step group spread evenly over its ranks while popularity shifts:
/// reads which experts requests choose, searches a better placement, and rolls it out. Acts only
/// with a token; a holder of a higher one ends it. Used on the thread of a runtime with one thread.
class group_balancer : public std::enable_shared_from_this<group_balancer> {
public:
    using engine_factory = std::function<std::unique_ptr<lockstep_engine>(const std::string&)>;

    /// @param context runs the calls and timers
    /// @param clock the time
    /// @param name of the group
    /// @param shape of the group
    /// @param ranks addresses by rank
    /// @param open_engine makes the way to an engine from afar
    /// @param report_lag how old a report that is read from afar may be
    /// @param options times and thresholds
    group_balancer(transport::runtime& context, const clock_source& clock, std::string name,
                   const policy::group_shape& shape, std::vector<rank_address> ranks,
                   const engine_factory& open_engine, duration report_lag,
                   balancer_options options = {});

    /// Starts to act.
    /// @param token higher than those of all earlier coordinators of the group
    void start(std::uint64_t token);

    /// Begins nothing more. A switch under way is brought to its end first, because a group that is
    /// left held makes no pass until another coordinator frees it; the object lives until then.
    void stop();

    /// @return whether another coordinator has taken over
    [[nodiscard]] bool is_fenced() const { return this->fenced_; }

    [[nodiscard]] const std::vector<rank_address>& ranks() const { return this->addresses_; }
    [[nodiscard]] const policy::group_shape& shape() const { return this->shape_; }
    [[nodiscard]] std::uint64_t switches() const { return this->switches_; }

private:
    struct rank_state {
        std::shared_ptr<rank_link> link;
        std::optional<policy::rank_report> report;
        time_point reported_at{};
        std::optional<std::vector<std::uint64_t>> counts; ///< as last read
        std::uint64_t counts_epoch = 0;
        std::optional<held_experts> experts;
        bool asked = false;             ///< a request of a look is under way
        std::uint64_t sent_rollout = 0; ///< rollout and round of the last request sent, until it
        std::uint64_t sent_round = 0;   ///< is answered
        bool sent = false;
    };

    void tick();
    void look();
    void on_look(unsigned rank, bool counted, const rank_reply& reply);
    void add_counts(rank_state& rank, const std::vector<std::uint64_t>& counts);
    [[nodiscard]] std::optional<policy::rank_report> common_state() const;
    void update_current(const policy::rank_report& state);
    void search(const policy::rank_report& state);
    void search_on();
    void finish_search();
    void begin_rollout(policy::expert_map target);
    void drive();
    void send(unsigned rank, const std::optional<policy::rank_order>& order);
    void on_rollout_reply(std::uint64_t rollout, std::uint64_t round, unsigned rank,
                          const std::optional<policy::rank_order>& order, const rank_reply& reply);
    void end_rollout();
    [[nodiscard]] double work(double skew) const;
    [[nodiscard]] std::vector<double> paces() const;

    transport::runtime& context_;
    const clock_source& clock_;
    std::string name_;
    policy::group_shape shape_;
    std::vector<rank_address> addresses_;
    balancer_options options_;
    std::vector<rank_state> ranks_;
    event_log log_{"experts"};
    std::uint64_t token_ = 0;
    bool stopped_ = false;
    std::shared_ptr<group_balancer> own_; ///< this object, from stop() to the end of the switch
    bool fenced_ = false;
    std::uint64_t proposals_ = 0;
    std::uint64_t switches_ = 0;
    std::uint64_t used_step_ = 0;               ///< highest pass that a rollout of this token held
    std::optional<policy::expert_map> current_; ///< in use; empty while it is unknown
    std::uint64_t current_epoch_ = 0;
    std::vector<std::vector<double>> loads_; ///< by set and expert, smoothed
    unsigned counts_pending_ = 0;            ///< counted ranks that have not answered in this look
    bool searched_ = false;                  ///< the counts of this look were searched
    std::optional<policy::map_search> search_;
    std::unique_ptr<policy::map_rollout> rollout_;
    std::uint64_t rollout_number_ = 0;
    std::uint64_t sent_round_ = 0;
    time_point next_look_{};
    time_point next_order_{};
    time_point next_poll_{};
    time_point rollout_started_{};
};

} // namespace medlaryoke::experts
