#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "model/upstream_entry.h"
#include "policy/outlier_detector.h"

namespace medlaryoke::policy {

/// A request that waits for an upstream, as the scheduler sees it.
struct scheduled_request {
    std::uint64_t id = 0;           ///< unique within the scheduler
    unsigned organisation_rank = 0; ///< compared first; 0 is the most urgent
    unsigned priority = 0;          ///< 0 is the most urgent
    bool repeated = false;          ///< was sent before; goes before others of its priority
    bool may_probe = false;         ///< may be sent to an upstream that was taken out for failing
    double tokens = 0;              ///< of the prompt that an engine must read
    time_point arrived{};
    time_point wait_until{};               ///< given up if not sent by then
    std::vector<std::uint64_t> excluded{}; ///< upstreams that it is not sent to
};

/// A request that goes to an upstream now.
struct assignment {
    std::uint64_t request = 0;
    std::uint64_t upstream = 0;
};

struct scheduler_options {
    /// Part of the running requests allowed that each priority may fill; the last entry holds for
    /// all further priorities. What the less urgent leave is free for urgent work at once.
    std::vector<double> part_by_priority{1.0, 0.94, 0.88};
    /// Requests that each priority but the first gets for each more urgent one that is sent while
    /// it waits, so that a flood of more urgent work does not starve it.
    double floor = 0.05;
    /// How long an upstream gets nothing more after it refused for being full or unready.
    duration refusal_pause = std::chrono::milliseconds(150);
    /// An upstream counts as slow from this multiple of the median latency.
    double slow_factor = 1.5;
    /// A measured latency that is older says nothing any more, so that a recovered upstream is
    /// tried again.
    duration latency_memory = std::chrono::seconds(3);
};

/// Decides which waiting request of one service goes to which upstream, for overload and for
/// upstreams that slow down, refuse or fail: urgent requests first, each to the upstream with the
/// fewest requests known there, those of other gateways included. No upstream is given more than
/// it can run, because a queue there would hide who is urgent. Not thread safe.
class upstream_scheduler {
public:
    upstream_scheduler(scheduler_options options, std::uint64_t seed);

    /// Replaces the list of upstreams. Counts of those that stay are kept.
    /// @param upstreams all upstreams of the service
    /// @param own_data_centre preferred where the load is equal
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                       const std::string& own_data_centre);

    /// Replaces what other gateways run.
    /// @param running requests by upstream
    void set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running);

    /// Bounds what the upstreams run and read.
    /// @param mean requests that an upstream runs, on average over the service; infinity: as many
    /// as it has slots
    /// @param tokens of prompts that one upstream reads at a time; infinity: any
    void set_limits(double mean, double tokens)
    {
        this->run_limit_ = mean;
        this->read_limit_ = tokens;
    }

    /// Adds a waiting request.
    void push(const scheduled_request& request);

    /// Takes the requests that go to an upstream now. on_end() must follow for each.
    /// @param now the current time
    [[nodiscard]] std::vector<assignment> take_ready(time_point now);

    /// Takes the requests that waited too long, or that will: at the rate at which requests end,
    /// those before them take the places until their time is up.
    /// @param now the current time
    /// @return their ids
    [[nodiscard]] std::vector<std::uint64_t> take_expired(time_point now);

    /// Removes a waiting request.
    /// @return whether it was waiting
    bool remove(std::uint64_t request);

    /// Learns that the first event of a request has come.
    /// @param upstream where it was sent
    /// @param tokens of its prompt
    void on_started(std::uint64_t upstream, double tokens);

    /// Returns the slot of a request that was sent.
    /// @param upstream where it was sent
    /// @param starting_tokens tokens of its prompt if on_started was not called for it, else 0
    /// @param now the current time
    void on_end(std::uint64_t upstream, double starting_tokens, time_point now);

    /// Learns from an answer or a failure.
    /// @param upstream where the request was sent
    /// @param outcome how it went
    /// @param latency to the first event or the whole answer, if it succeeded
    /// @param now the current time
    void on_result(std::uint64_t upstream, call_outcome outcome, std::optional<duration> latency,
                   time_point now);

    /// @return whether an upstream is in the list and gets new requests
    [[nodiscard]] bool is_usable(std::uint64_t upstream) const;

    /// @param excluded upstreams that are not asked for
    /// @return whether another one is in the list and not draining, however full it is
    [[nodiscard]] bool has_other(const std::vector<std::uint64_t>& excluded) const;

    /// @return requests of this gateway by upstream, without those that have none
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> own_load() const;

    /// @return upstreams in the list
    [[nodiscard]] std::size_t listed() const;

    [[nodiscard]] std::size_t waiting() const { return this->waiting_.size(); }
    [[nodiscard]] std::size_t running() const;

    /// @return requests that an upstream runs, on average, those of other gateways included
    [[nodiscard]] double mean_running() const;

private:
    struct upstream_state {
        model::upstream_entry entry;
        bool listed = true;
        unsigned own = 0;
        double starting = 0; ///< prompt tokens of own ones without a first event
        unsigned remote = 0;
        time_point paused_until{};
        double latency_ms = 0; ///< smoothed; 0: unknown
        time_point latency_at{};

        [[nodiscard]] bool takes_new() const { return this->listed && !this->entry.draining; }
    };
    using state_map = std::map<std::uint64_t, upstream_state>;

    [[nodiscard]] bool has_room(unsigned priority) const;
    [[nodiscard]] double own_rate(time_point now) const;
    [[nodiscard]] bool may_take(std::uint64_t id, const upstream_state& it,
                                const scheduled_request& request, time_point now) const;
    [[nodiscard]] double median_latency(time_point now) const;
    [[nodiscard]] double score(const upstream_state& it, double median, time_point now) const;
    [[nodiscard]] std::optional<assignment> take_owed(double median, time_point now);
    void note_sent(const scheduled_request& request, std::uint64_t upstream);
    std::optional<std::uint64_t> choose(const scheduled_request& request, double median,
                                        time_point now);
    std::optional<std::uint64_t> choose_probe(const scheduled_request& request, time_point now);

    scheduler_options options_;
    std::mt19937_64 random_;
    std::string own_data_centre_;
    state_map upstreams_;
    outlier_detector outliers_;
    std::vector<scheduled_request> waiting_; ///< in the order in which they are served
    std::map<unsigned, double> owed_;        ///< requests by priority, from their floors
    double run_limit_;
    double read_limit_;
    std::deque<time_point> ends_; ///< of own requests lately
};

} // namespace medlaryoke::policy
