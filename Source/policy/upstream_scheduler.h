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
#include "policy/cold_start.h"
#include "policy/load_reports.h"
#include "policy/outlier_detector.h"
#include "policy/shared_rate_limits.h"
#include "policy/upstream_notices.h"

namespace medlaryoke::policy {

/// Properties of a waiting request that decide when and where it is dispatched.
struct scheduled_request {
    std::uint64_t id = 0;           ///< unique within the scheduler
    unsigned organisation_rank = 0; ///< compared before the priority; 0 is the most urgent
    unsigned priority = 0;          ///< 0 is the most urgent
    bool is_retry = false;          ///< goes before first attempts of the same priority
    bool may_probe = false; ///< may be sent to an ejected upstream to test whether it has recovered
    double prompt_tokens = 0; ///< tokens that the engine has to prefill
    time_point arrived{};
    time_point wait_until{};               ///< the request expires if it is not sent by then
    std::vector<std::uint64_t> excluded{}; ///< upstreams that the request must not be sent to
};

/// Decision to send a request to an upstream now.
struct assignment {
    std::uint64_t request = 0;
    std::uint64_t upstream = 0;
};

struct scheduler_options {
    /// Fraction of the total capacity up to which each priority may dispatch; the last value
    /// applies to all further priorities. The rest stays free, so that urgent requests find a slot
    /// at once.
    std::vector<double> capacity_fraction_by_priority{1.0, 0.94, 0.88};
    /// Requests credited to a waiting priority for each more urgent request that is sent. A full
    /// credit dispatches one request, so that a flood of urgent requests does not starve the
    /// others. The most urgent priority needs no credit.
    double starvation_credit = 0.05;
    /// How long an upstream gets no further request after it refused one as full or not ready.
    duration refusal_backoff = std::chrono::milliseconds(150);
    /// How long an upstream gets no further request after it refused a connection.
    duration unreachable_backoff = std::chrono::seconds(1);
    /// Period over which the rate of own requests is measured. Other gateways are taken to send at
    /// the same rate.
    duration send_rate_window = std::chrono::seconds(4);
    /// Multiple of the median latency from which an upstream counts as slow.
    double slow_factor = 1.5;
    /// Latencies older than this are ignored, so that a slow upstream that has recovered gets
    /// requests again.
    duration latency_max_age = std::chrono::seconds(3);
};

/// Assigns the waiting requests of one service to its upstreams. Urgent requests go first, each to
/// an upstream with a low load, which includes the requests of other gateways. Requests that these
/// have sent since their last reports are expected at the upstreams with the lowest reported load,
/// so the choice is random with the weights that would level the load of all. Slow, refusing
/// and failing upstreams are avoided. No upstream gets more requests than it can run at once,
/// because its own queue would not respect priorities. Not thread safe.
class upstream_scheduler {
public:
    upstream_scheduler(scheduler_options options, std::uint64_t seed);

    /// Sets the rate limits of upstreams, which requests are assigned within.
    /// @param limits limits of all services; must outlive the scheduler
    void set_rate_limits(shared_rate_limits& limits) { this->rate_limits_ = &limits; }

    /// Sets what upstreams have said of themselves: ones that leave and ones that want no requests
    /// for a time get none.
    /// @param notices notices of all services; must outlive the scheduler
    void set_notices(const upstream_notices& notices) { this->notices_ = &notices; }

    /// Sets the limits of cold upstreams, which requests are assigned within.
    /// @param cold limits of the service; must outlive the scheduler
    void set_cold_start(cold_start& cold) { this->cold_ = &cold; }

    /// Replaces the list of upstreams. The state of upstreams that stay in the list is kept.
    /// @param upstreams all upstreams of the service
    /// @param own_data_centre data centre that is preferred between equally loaded upstreams
    void set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                       const std::string& own_data_centre);

    /// Replaces the load that other gateways put on the upstreams.
    /// @param running number of running requests by upstream
    /// @param reports age of these numbers
    void set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                         const load_reports& reports = {});

    /// Limits the running requests and the prefill work of the upstreams. An upstream that runs
    /// nothing takes a request whatever these limits are, as only its events can change them.
    /// @param max_mean_running running requests per upstream, as a mean over the service; with
    /// infinity only the slots of each upstream limit them
    /// @param max_prefill_tokens prompt tokens that one upstream prefills at a time; infinity for
    /// no limit
    void set_limits(double max_mean_running, double max_prefill_tokens)
    {
        this->max_mean_running_ = max_mean_running;
        this->max_prefill_tokens_ = max_prefill_tokens;
    }

    /// Adds a waiting request.
    /// @param request the request, with an id that is not in use
    void push(const scheduled_request& request);

    /// Removes the requests that can be sent now from the queue. on_end() must be called for each.
    /// @param now the current time
    /// @return the requests and their upstreams
    [[nodiscard]] std::vector<assignment> take_ready(time_point now);

    /// Removes the requests whose wait_until has passed, and those that cannot be sent before it:
    /// at the current completion rate, the requests ahead of them take all slots until then, the
    /// upstreams that are left to them have rate limits that admit no further request until then,
    /// or all of these want no requests until then. Removes all if the data centres of all
    /// upstreams are evacuated.
    /// @param now the current time
    /// @return ids of the removed requests
    [[nodiscard]] std::vector<std::uint64_t> take_expired(time_point now);

    /// Removes a waiting request.
    /// @param request id of the request
    /// @return whether the request was waiting
    bool remove(std::uint64_t request);

    /// Records the first event of a request, which means that its prompt has been prefilled.
    /// @param upstream upstream that runs the request
    /// @param prompt_tokens length of its prompt
    void on_started(std::uint64_t upstream, double prompt_tokens);

    /// Releases the slot of a request that has ended.
    /// @param upstream upstream that ran the request
    /// @param prefilling_tokens length of its prompt, or 0 if on_started() was called for it
    /// @param now the current time
    void on_end(std::uint64_t upstream, double prefilling_tokens, time_point now);

    /// Updates the health and the latency of an upstream after a call.
    /// @param upstream upstream that was called
    /// @param outcome outcome of the call
    /// @param latency time to the first event or to the whole answer, if the call succeeded
    /// @param now the current time
    void on_result(std::uint64_t upstream, call_outcome outcome, std::optional<duration> latency,
                   time_point now);

    /// Avoids an upstream for a while, because nothing listens at its address. It has ended, and
    /// stays in the list until its entry lapses.
    /// @param upstream id of the upstream
    /// @param now the current time
    void on_unreachable(std::uint64_t upstream, time_point now);

    /// @param upstream id of an upstream
    /// @return whether it is in the list, does not leave and is not evacuated
    [[nodiscard]] bool is_usable(std::uint64_t upstream) const;

    /// @param excluded upstreams to ignore
    /// @return whether any other upstream is in the list and not draining; it may be full
    [[nodiscard]] bool has_alternative(const std::vector<std::uint64_t>& excluded) const;

    /// @return running requests of this gateway by upstream; idle upstreams are left out
    [[nodiscard]] std::unordered_map<std::uint64_t, unsigned> own_load() const;

    /// @return time until the first upstream takes requests again, if all of them want none; else
    /// zero
    [[nodiscard]] duration pause_left(time_point now) const;

    /// @return number of upstreams in the list
    [[nodiscard]] std::size_t listed_count() const;

    /// @return number of waiting requests
    [[nodiscard]] std::size_t waiting() const { return this->waiting_.size(); }

    /// @return number of running requests of this gateway
    [[nodiscard]] std::size_t running() const;

    /// @return mean number of running requests per upstream, including those of other gateways
    [[nodiscard]] double mean_running() const;

private:
    struct upstream_state {
        model::upstream_entry entry;
        std::uint64_t incarnation = 0; ///< hash of the id and the start time
        bool listed = true; ///< false while requests still run on an upstream that left the list
        unsigned own_running = 0;     ///< running requests of this gateway
        double prefilling_tokens = 0; ///< prompt tokens of own requests without a first event
        unsigned remote_running = 0;  ///< running requests of other gateways
        time_point backoff_until{};   ///< end of the backoff after a refusal
        double latency_ms = 0;        ///< moving average; 0 if unknown
        time_point latency_measured_at{};

        [[nodiscard]] unsigned running() const { return this->own_running + this->remote_running; }
    };
    /// Requests that upstreams with rate limits take from this gateway.
    struct limited_service {
        double per_second = 0; ///< in the long run
        double at_once = 0;    ///< now
    };
    using state_map = std::map<std::uint64_t, upstream_state>;

    /// @return whether upstreams without a rate limit have capacity for a priority
    [[nodiscard]] bool has_capacity(unsigned priority, time_point now) const;

    /// @return whether these have capacity if at most `per_upstream` requests run at each
    [[nodiscard]] bool has_capacity(unsigned priority, double per_upstream, time_point now) const;

    /// @return whether an upstream runs nothing and has a slot for the priority
    [[nodiscard]] bool has_idle_upstream(unsigned priority, time_point now) const;

    /// @return whether any upstream with a rate limit takes a request now
    [[nodiscard]] bool has_permit(time_point now) const;
    [[nodiscard]] double completion_rate(time_point now) const;
    /// @return whether an upstream belongs to a group that lacks ranks while another group has all:
    /// it refuses requests until the group is complete. If all groups lack ranks, one may have
    /// become complete before its entries say so.
    [[nodiscard]] bool is_out_of_service(const upstream_state& it) const
    {
        return this->has_open_group_ && it.entry.group && !it.entry.group->open;
    }

    /// @return whether upstreams are listed and the data centres of all are evacuated
    [[nodiscard]] bool is_evacuated() const;

    /// @return whether an upstream is listed, does not leave and is not evacuated
    [[nodiscard]] bool accepts_requests(const upstream_state& it) const;

    /// @return until when an upstream wants no requests; empty if it takes them
    [[nodiscard]] std::optional<time_point> paused_until(const upstream_state& it,
                                                         time_point now) const;

    /// @return when the first upstream that the request may be sent to takes requests again; `now`
    /// if one of them takes them, or if there is none
    [[nodiscard]] time_point first_use(const scheduled_request& request, time_point now) const;
    [[nodiscard]] bool is_limited(const upstream_state& it) const;
    /// @return whether the rate limit of an upstream, and its being cold, admit a request now
    [[nodiscard]] bool is_permitted(const upstream_state& it, time_point now) const;

    /// @return what the upstreams take that the request may be sent to; empty if one of them has no
    /// rate limit, or if there are none
    [[nodiscard]] std::optional<limited_service> limits_for(const scheduled_request& request,
                                                            time_point now) const;
    [[nodiscard]] bool can_accept(std::uint64_t id, const upstream_state& it,
                                  const scheduled_request& request, time_point now) const;
    [[nodiscard]] double median_latency(time_point now) const;
    [[nodiscard]] double score(const upstream_state& it, double median, time_point now) const;
    [[nodiscard]] std::optional<assignment> take_credited(double median, time_point now);
    void record_dispatch(const scheduled_request& request, std::uint64_t upstream, time_point now);
    std::optional<std::uint64_t> choose_upstream(const scheduled_request& request, double median,
                                                 time_point now);
    /// @param priority whose share of the capacity may be used
    std::optional<std::uint64_t> choose_upstream(const scheduled_request& request, double median,
                                                 time_point now, unsigned priority);
    /// @return number of requests that the other gateways have probably sent since their reports
    [[nodiscard]] double unreported_requests(time_point now) const;
    std::optional<std::uint64_t> choose_probe(const scheduled_request& request, time_point now);

    scheduler_options options_;
    std::mt19937_64 random_;
    std::string own_data_centre_;
    state_map upstreams_;
    outlier_detector outliers_;
    shared_rate_limits* rate_limits_ = nullptr;
    const upstream_notices* notices_ = nullptr;
    cold_start* cold_ = nullptr;
    bool has_open_group_ = false;            ///< a group of listed upstreams has all its ranks
    std::vector<scheduled_request> waiting_; ///< sorted by serving_order()
    std::map<unsigned, double> credits_;     ///< earned requests by priority; see starvation_credit
    double max_mean_running_;
    double max_prefill_tokens_;
    std::deque<time_point> completion_times_; ///< of own requests within the window
    load_reports reports_;
    std::deque<time_point> send_times_; ///< of own requests within the window
};

} // namespace medlaryoke::policy
