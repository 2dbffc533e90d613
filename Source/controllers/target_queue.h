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

/// An upstream of a model group or service, as the dispatcher sees it.
struct dispatch_target {
    std::string upstream; ///< name of the upstream
    std::shared_ptr<upstream_link> link;
    bool leaving = false; ///< gets no new work
};

/// Lengths for status and metrics.
struct queue_status {
    std::string target; ///< model group or service
    std::size_t waiting = 0;
    std::size_t running = 0;
};

/// The open requests of one model group or service, under one lock. Decides which request goes to
/// which upstream next. Thread safe; calls no link and no request while it holds its lock.
class target_queue {
public:
    using request_pointer = std::shared_ptr<pending_request>;

    target_queue(const policy::work_queue_options& options, std::uint64_t seed);

    /// Adds a request, or returns one for another attempt.
    /// @param request the request
    /// @param now the current time
    /// @return requests that were shed to stay within the limit; may contain the new one
    std::vector<request_pointer> push(const request_pointer& request, time_point now);

    /// Decides whether a new request can be served in time and adds it to those that are open.
    /// @param request the request; to be pushed next
    /// @param now the current time
    /// @return empty, or the predicted wait of a request that was not admitted
    std::optional<duration> admit(const request_pointer& request, time_point now);

    /// Forgets a request that has ended.
    void close(const request_pointer& request);

    /// Learns how a dispatch went, to take upstreams that fail out of rotation.
    /// @param upstream name of the upstream
    /// @param result how the dispatch ended
    /// @param now the current time
    void on_result(const std::string& upstream, policy::call_outcome result, time_point now);

    /// Takes the token of one retry; requests earn them when they are admitted.
    /// @return whether a request may be tried again
    bool try_retry();

    /// Calls a function for each request that can go to an upstream now. Only one thread does so
    /// at a time, so that none sees room that another one is about to use.
    /// @param now returns the current time
    /// @param start hands the request to the upstream
    void dispatch_ready(
        const std::function<time_point()>& now,
        const std::function<void(const request_pointer&, const dispatch_target&)>& start);

    /// @param now the current time
    /// @return waiting requests past their deadline; they leave the queue
    std::vector<request_pointer> expire(time_point now);

    /// @return all open requests
    std::vector<request_pointer> open_requests() const;

    void set_upstreams(std::vector<dispatch_target> upstreams);
    void set_priorities(std::vector<policy::priority_rule> priorities);

    /// @param target name to report
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
    std::optional<assignment> take_next(const std::vector<dispatch_target>& upstreams,
                                        const candidate_list& candidates, time_point now);
    std::size_t choose(const pending_request& request,
                       const std::vector<dispatch_target>& upstreams, candidate_list candidates,
                       policy::slot_availability left, time_point now);
    request_pointer pop(time_point now, policy::slot_availability left);
    [[nodiscard]] request_pointer find(std::uint64_t id) const;

    mutable std::mutex mutex_;
    policy::work_queue queue_;
    policy::upstream_selector selector_;
    policy::retry_budget retries_;
    policy::admission_control admission_;
    policy::outlier_detector outliers_;
    upstream_list upstreams_;
    std::unordered_map<std::uint64_t, request_pointer> open_;
    bool dispatching_ = false;    ///< a thread is in dispatch_ready
    bool dispatch_again_ = false; ///< something changed since that thread looked
};

} // namespace medlaryoke::controllers
