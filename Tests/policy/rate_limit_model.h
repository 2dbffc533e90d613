#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/peer_table.h"
#include "policy/shared_rate_limits.h"

namespace medlaryoke::policy {

/// Load and faults of a rate_limit_model.
struct rate_limit_load {
    std::size_t gateways = 4;
    std::size_t upstreams = 16;
    std::size_t limited = 11;  ///< upstreams that name a limit
    double limit = 2.4;        ///< requests a second
    double demand = 25;        ///< requests a second at each gateway
    double skew = 1;           ///< demand of the first gateway, as a multiple of the others'
    bool has_cuts = false;     ///< groups of gateways lose each other for seconds
    bool has_one_way = false;  ///< gateways do not hear single others for seconds
    bool has_freezes = false;  ///< gateways stand still for seconds
    bool has_restarts = false; ///< gateways start again, one or many
    std::uint64_t seed = 1;
};

/// What a run of the model has shown.
struct rate_limit_result {
    /// Most requests within the rule's window at one upstream, divided by what the rule allows.
    double worst_window = 0;
    /// Requests that reached limited upstreams, as a fraction of what their limits admit.
    double used = 0;
    /// Longest time from the first answer without a limit until all gateways know its end.
    duration slowest_end{};
};

/// Runs gateways that share rate limits, with the heartbeats between them, in simulated time.
class rate_limit_model {
public:
    explicit rate_limit_model(const rate_limit_load& load);
    ~rate_limit_model();
    rate_limit_model(const rate_limit_model&) = delete;
    rate_limit_model& operator=(const rate_limit_model&) = delete;
    rate_limit_model(rate_limit_model&&) = delete;
    rate_limit_model& operator=(rate_limit_model&&) = delete;

    rate_limit_result run();

private:
    struct message {
        time_point due{};
        peer_heartbeat heartbeat;
    };
    struct answer {
        time_point due{};
        std::size_t upstream = 0;
        bool is_limited = false;
    };
    struct gateway {
        std::string name;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        std::unique_ptr<shared_rate_limits> limits;
        peer_table peers;
        std::deque<message> inbox;
        std::deque<answer> answers;
        std::vector<std::optional<time_point>> told_at; ///< by upstream, by its own answers
        time_point starts_at{};
        time_point serves_at{};
        time_point frozen_until{};
        time_point next_heartbeat{};
        unsigned side = 0; ///< only gateways of the same side reach each other
        time_point cut_until{};
        std::vector<time_point> deaf_until; ///< by sender: when its heartbeats arrive again
    };
    struct arrival {
        time_point at{};
        bool counts = false; ///< its gateway was told long enough before
    };
    struct upstream {
        bool is_limited = false;
        std::vector<arrival> arrivals;
        std::optional<time_point> first_answer_without_limit;
    };

    void start(gateway& it, duration down);
    void inject_faults();
    void step(gateway& it);
    void receive(gateway& it);
    void send_requests(gateway& it);
    void send_heartbeat(gateway& it);
    void measure_end(rate_limit_result& result);
    void measure_windows(rate_limit_result& result) const;
    [[nodiscard]] bool happens(double probability);
    [[nodiscard]] duration random_duration(duration least, duration most);
    [[nodiscard]] bool names_limit(std::size_t index) const;
    [[nodiscard]] std::size_t pick(std::size_t count);

    rate_limit_load load_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<gateway> gateways_;
    std::vector<upstream> upstreams_;
};

} // namespace medlaryoke::policy
