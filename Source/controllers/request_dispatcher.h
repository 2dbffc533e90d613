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
    std::size_t max_queue_items = 10'000; ///< for each model group or service
    std::uint64_t seed = 0;               ///< of the random choices among upstreams
};

/// Queues requests by model group or service and hands them to agents that have room. Ends each
/// request exactly once as answered, not run or unknown. Thread safe; each model group or service
/// has its own lock.
class request_dispatcher {
public:
    /// @param clock the time
    /// @param options limits and priorities
    /// @param observer told of each request that ended; outlives this object
    request_dispatcher(const clock_source& clock, dispatcher_options options,
                       request_observer& observer);
    request_dispatcher(const request_dispatcher&) = delete;
    request_dispatcher& operator=(const request_dispatcher&) = delete;
    request_dispatcher(request_dispatcher&&) = delete;
    request_dispatcher& operator=(request_dispatcher&&) = delete;
    ~request_dispatcher();

    /// Queues a request.
    /// @param request what to run
    /// @param response where the answer goes
    void submit(work_request request, const std::shared_ptr<transport::response_stream>& response);

    /// Replaces the upstreams of a model group or service. Running requests stay where they are.
    /// @param target the model group or service
    /// @param upstreams all upstreams this entry may use for it
    void set_upstreams(const std::string& target, std::vector<dispatch_target> upstreams);

    /// @param priorities rules after a change of configuration
    void set_priorities(const std::vector<policy::priority_rule>& priorities);

    /// Dispatches what waits for an upstream that may have room now.
    /// @param target the model group or service
    void on_room(const std::string& target);

    /// Ends requests past their deadline; to be called several times a second.
    void tick();

    /// @return the queues in order of their names
    [[nodiscard]] std::vector<queue_status> queues() const;

    /// @return requests that have not ended
    [[nodiscard]] std::size_t open_requests() const;

    class implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace medlaryoke::controllers
