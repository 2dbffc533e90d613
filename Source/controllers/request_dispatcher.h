#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controllers/request_record.h"
#include "controllers/target_queue.h"
#include "controllers/work_request.h"
#include "policy/work_queue.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

struct dispatcher_options {
    std::vector<policy::priority_rule> priorities;
    std::size_t max_queue_items = 10'000; ///< limit for each model group or service
    std::uint64_t seed = 0;               ///< seed of the random choice of upstreams
};

/// Queues requests by model group or service and dispatches them to agents that have free capacity.
/// Ends each request exactly once, with the outcome answered, not_run or unknown. Thread safe; each
/// model group or service has its own lock.
class request_dispatcher {
public:
    /// @param clock source of the current time; outlives this object
    /// @param options limits and priorities
    /// @param observer receives a record of each request that has ended; outlives this object
    request_dispatcher(const clock_source& clock, dispatcher_options options,
                       request_observer& observer);
    request_dispatcher(const request_dispatcher&) = delete;
    request_dispatcher& operator=(const request_dispatcher&) = delete;
    request_dispatcher(request_dispatcher&&) = delete;
    request_dispatcher& operator=(request_dispatcher&&) = delete;
    ~request_dispatcher();

    /// Queues a request.
    /// @param request the request to run
    /// @param response stream that receives the answer
    void submit(work_request request, const std::shared_ptr<transport::response_stream>& response);

    /// Replaces the upstreams of a model group or service. Running requests stay at their
    /// upstreams.
    /// @param target the model group or service
    /// @param upstreams all upstreams that this entry may use for the target
    void set_upstreams(const std::string& target, std::vector<dispatch_target> upstreams);

    /// Replaces the priority rules of all queues.
    /// @param priorities rules of the new configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    /// Dispatches waiting requests; to be called when an upstream may have free capacity.
    /// @param target the model group or service
    void on_capacity_available(const std::string& target);

    /// Ends requests whose deadline has passed; to be called several times a second.
    void tick();

    /// @return status of each queue, sorted by target name
    [[nodiscard]] std::vector<queue_status> queues() const;

    /// @return number of requests that have not ended
    [[nodiscard]] std::size_t open_requests() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
