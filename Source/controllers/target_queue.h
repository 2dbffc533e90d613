#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "controllers/pending_request.h"
#include "controllers/upstream_link.h"
#include "policy/admission_control.h"
#include "policy/outlier_detector.h"
#include "policy/retry_budget.h"
#include "policy/upstream_selector.h"
#include "policy/work_queue.h"

namespace medlaryoke::controllers {

/// An upstream of a model group or service that requests can be dispatched to.
struct dispatch_target {
    std::string upstream; ///< name of the upstream
    std::shared_ptr<upstream_link> link;
    bool leaving = false; ///< the upstream is leaving and gets no new requests
};

/// Numbers of requests of one model group or service, for status and metrics.
struct queue_status {
    std::string target; ///< model group or service
    std::size_t waiting = 0;
    std::size_t running = 0;
};

/// Holds the open requests of one model group or service under one lock, and decides which request
/// is dispatched next and to which upstream. Thread safe; calls no link and changes no request
/// while it holds its lock.
class target_queue {
public:
    using request_pointer = std::shared_ptr<pending_request>;

    /// @param options priority rules and the limit of the queue
    /// @param seed seed of the random choice of upstreams
    target_queue(const policy::work_queue_options& options, std::uint64_t seed);

    /// Queues a new request, or requeues one for another attempt.
    /// @param request the request
    /// @param now the current time
    /// @return requests that were shed to stay within the limit; may contain the new one
    std::vector<request_pointer> push(const request_pointer& request, time_point now);

    /// Decides whether a new request can be served before its deadline. An admitted request is open
    /// until close() and has to be pushed next.
    /// @param request the request
    /// @param now the current time
    /// @return empty if the request is admitted, else its predicted wait
    std::optional<duration> admit(const request_pointer& request, time_point now);

    /// Removes a request that has ended.
    void close(const request_pointer& request);

    /// Records the result of a dispatch, so that failing upstreams are ejected.
    /// @param upstream name of the upstream
    /// @param result how the dispatch ended
    /// @param now the current time
    void on_result(const std::string& upstream, policy::call_outcome result, time_point now);

    /// Takes one retry from the retry budget, which grows with each admitted request.
    /// @return whether the budget allowed the retry
    bool try_retry();

    /// Dispatches each request for which an upstream has free capacity. Only one thread dispatches
    /// at a time, so that no two threads use the same free capacity.
    /// @param now returns the current time
    /// @param start called for each request with its upstream; starts the attempt
    void dispatch_ready(
        const std::function<time_point()>& now,
        const std::function<void(const request_pointer&, const dispatch_target&)>& start);

    /// @param now the current time
    /// @return waiting requests whose deadline has passed; they are removed from the queue
    std::vector<request_pointer> expire(time_point now);

    /// @return all requests that were admitted and have not ended
    std::vector<request_pointer> open_requests() const;

    void set_upstreams(std::vector<dispatch_target> upstreams);
    void set_priorities(std::vector<policy::priority_rule> priorities);

    /// @param target name to report
    /// @return numbers of waiting and running requests
    [[nodiscard]] queue_status status(const std::string& target) const;

private:
    using upstream_list = std::shared_ptr<const std::vector<dispatch_target>>;
    using candidate_list = std::vector<policy::upstream_candidate>;
    struct assignment {
        request_pointer request;
        std::size_t upstream;
    };

    void mark_ejected(candidate_list& candidates) const;
    std::optional<std::size_t> choose_probe(const pending_request& request,
                                            const candidate_list& candidates, time_point now);
    std::optional<assignment> assign_next(const std::vector<dispatch_target>& upstreams,
                                          const candidate_list& candidates, time_point now);
    std::size_t choose(const pending_request& request,
                       const std::vector<dispatch_target>& upstreams, candidate_list candidates,
                       policy::slot_availability capacity_left, time_point now);
    request_pointer pop(time_point now, policy::slot_availability capacity_left);
    [[nodiscard]] request_pointer find(std::uint64_t id) const;

    mutable std::mutex mutex_;
    policy::work_queue queue_;
    policy::upstream_selector selector_;
    policy::retry_budget retry_budget_;
    policy::admission_control admission_;
    policy::outlier_detector outliers_;
    upstream_list upstreams_;
    std::unordered_map<std::uint64_t, request_pointer> open_requests_;
    bool dispatching_ = false;        ///< a thread is in dispatch_ready
    bool dispatch_requested_ = false; ///< another thread called dispatch_ready meanwhile
};

} // namespace medlaryoke::controllers
