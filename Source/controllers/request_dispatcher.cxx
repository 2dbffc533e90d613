#include "controllers/request_dispatcher.h"

#include <atomic>
#include <chrono>
#include <exception>
#include <map>
#include <optional>
#include <shared_mutex>
#include <utility>

#include <fmt/format.h>

#include "base/logging.h"
#include "controllers/refusal.h"

namespace medlaryoke::controllers {

namespace {

/// Largest number of dispatches of one request, including the first.
constexpr unsigned max_attempts = 4;
/// The agent also ends late requests and knows whether they were run, so the entry waits this long
/// after the deadline for its report.
constexpr duration agent_report_grace = std::chrono::milliseconds(250);

using request_pointer = target_queue::request_pointer;

policy::call_outcome classify_status(unsigned status)
{
    constexpr unsigned first_server_error = 500;
    return status >= first_server_error ? policy::call_outcome::failed
                                        : policy::call_outcome::succeeded;
}

/// Counts a refusal as a failure of the upstream only if the upstream was down; the agent decides
/// on all other refusals.
policy::call_outcome classify_refusal(wire::refusal_reason reason)
{
    switch (reason) {
    case wire::REFUSAL_REASON_UPSTREAM_DOWN:
        return policy::call_outcome::failed;
    case wire::REFUSAL_REASON_OVERLOADED:
        return policy::call_outcome::refused;
    default:
        return policy::call_outcome::abandoned;
    }
}

wire::dispatch make_dispatch(const work_request& work)
{
    wire::dispatch message;
    message.set_request_id(work.request_id);
    message.set_priority(work.priority_order);
    message.set_organisation(work.organisation);
    message.set_share(work.share);
    message.set_method(work.upstream_request.method);
    message.set_target(work.upstream_request.target);
    for (const auto& field : work.upstream_request.headers) {
        auto* header = message.add_headers();
        header->set_name(field.name);
        header->set_value(field.value);
    }
    message.set_body(work.upstream_request.body);
    message.set_stream(work.stream);
    message.set_idempotent(work.idempotent);
    message.set_idempotency_key(work.idempotency_key);
    message.set_service(work.target);
    message.set_cost(static_cast<std::uint64_t>(work.cost));
    return message;
}

} // namespace

class request_dispatcher::implementation
    : public std::enable_shared_from_this<request_dispatcher::implementation> {
public:
    implementation(const clock_source& clock, dispatcher_options options,
                   request_observer& observer)
        : clock_(clock), options_(std::move(options)), observer_(observer)
    {
    }

    void submit(work_request work, const std::shared_ptr<transport::response_stream>& response)
    {
        auto& queue = this->find_or_create_queue(work.target);
        const auto request =
            std::make_shared<pending_request>(++this->last_id_, std::move(work), response);
        if (const auto wait = queue.admit(request, this->clock_.now())) {
            this->fail(
                request,
                {outcome::not_run, error_kind::overloaded,
                 fmt::format("the predicted wait in the queue of {} is {} ms, too long for "
                             "the deadline",
                             request->request().target,
                             std::chrono::duration_cast<std::chrono::milliseconds>(*wait).count()),
                 "Send the request again later, with more time or a higher priority."});
            return;
        }
        response->on_closed([weak = this->weak_from_this(), weak_request = std::weak_ptr(request)] {
            const auto self = weak.lock();
            const auto closed = weak_request.lock();
            if (self != nullptr && closed != nullptr) {
                self->cancel(closed);
            }
        });
        this->enqueue(request);
    }

    void set_upstreams(const std::string& target, std::vector<dispatch_target> upstreams)
    {
        auto& queue = this->find_or_create_queue(target);
        queue.set_upstreams(std::move(upstreams));
        this->dispatch_ready(queue);
    }

    void set_priorities(const std::vector<policy::priority_rule>& priorities)
    {
        const std::unique_lock lock(this->mutex_);
        this->options_.priorities = priorities;
        for (const auto& [target, queue] : this->queues_) {
            queue->set_priorities(priorities);
        }
    }

    void on_capacity_available(const std::string& target)
    {
        this->dispatch_ready(this->find_or_create_queue(target));
    }

    void tick()
    {
        const auto now = this->clock_.now();
        for (auto* queue : this->all_queues()) {
            for (const auto& request : queue->expire(now)) {
                this->fail(request,
                           {outcome::not_run, error_kind::deadline_exceeded,
                            "the deadline passed while the request waited",
                            "Send the request again, with more time or a higher priority."});
            }
            for (const auto& request : queue->open_requests()) {
                if (now > request->request().deadline + agent_report_grace &&
                    request->is_running()) {
                    this->fail(request, {outcome::unknown, error_kind::deadline_exceeded,
                                         "the deadline passed before the answer was complete",
                                         "Send the request again with the same Idempotency-Key."});
                }
            }
            this->dispatch_ready(*queue);
        }
    }

    std::vector<queue_status> queues() const
    {
        const std::shared_lock lock(this->mutex_);
        std::vector<queue_status> result;
        result.reserve(this->queues_.size());
        for (const auto& [target, queue] : this->queues_) {
            result.push_back(queue->status(target));
        }
        return result;
    }

private:
    target_queue& find_or_create_queue(const std::string& target)
    {
        {
            const std::shared_lock lock(this->mutex_);
            const auto it = this->queues_.find(target);
            if (it != this->queues_.end()) {
                return *it->second;
            }
        }
        const std::unique_lock lock(this->mutex_);
        auto& queue = this->queues_[target];
        if (queue == nullptr) {
            queue = std::make_unique<target_queue>(
                policy::work_queue_options{this->options_.priorities,
                                           this->options_.max_queue_items},
                this->options_.seed + this->queues_.size());
        }
        return *queue;
    }

    std::vector<target_queue*> all_queues() const
    {
        const std::shared_lock lock(this->mutex_);
        std::vector<target_queue*> result;
        result.reserve(this->queues_.size());
        for (const auto& [target, queue] : this->queues_) {
            result.push_back(queue.get());
        }
        return result;
    }

    void enqueue(const request_pointer& request)
    {
        auto& queue = this->find_or_create_queue(request->request().target);
        for (const auto& shed : queue.push(request, this->clock_.now())) {
            this->fail(shed, {outcome::not_run, error_kind::overloaded,
                              fmt::format("the queue of {} is full", shed->request().target),
                              "Send the request again later."});
        }
        this->dispatch_ready(queue);
    }

    void dispatch_ready(target_queue& queue)
    {
        queue.dispatch_ready(
            [this] { return this->clock_.now(); },
            [this](const request_pointer& request, const dispatch_target& upstream) {
                this->start_attempt(request, upstream);
            });
    }

    void start_attempt(const request_pointer& request, const dispatch_target& upstream)
    {
        const auto attempt =
            request->begin_attempt(upstream.upstream, upstream.link, this->clock_.now());
        if (!attempt) {
            return;
        }
        const auto& work = request->request();
        try {
            const auto id =
                upstream.link->dispatch(make_dispatch(work), work.deadline,
                                        this->make_events(request, *attempt, upstream.upstream));
            if (request->set_dispatch_id(*attempt, id)) {
                upstream.link->cancel(id);
            }
        }
        catch (const std::exception& e) {
            this->on_unknown(request, *attempt, e.what());
        }
    }

    dispatch_events make_events(const request_pointer& request, unsigned attempt,
                                const std::string& upstream)
    {
        const auto weak = this->weak_from_this();
        const auto status = std::make_shared<unsigned>(0);
        dispatch_events events;
        events.on_head = [request, attempt, status](const transport::http_head& head) {
            *status = head.status;
            request->on_head(attempt, head);
        };
        events.on_data = [weak, request, attempt](const std::string& data) {
            if (const auto self = weak.lock()) {
                self->on_data(request, attempt, data);
            }
        };
        events.on_finished = [weak, request, attempt, upstream, status] {
            if (const auto self = weak.lock()) {
                self->report_result(request, upstream, classify_status(*status));
                self->close_request(request, request->finish(attempt, self->clock_.now()), {});
            }
        };
        events.on_refused = [weak, request, attempt, upstream](wire::refusal_reason reason,
                                                               const std::string& message) {
            if (const auto self = weak.lock()) {
                self->report_result(request, upstream, classify_refusal(reason));
                self->on_refused(request, attempt, reason, message);
            }
        };
        events.on_unknown = [weak, request, attempt, upstream](const std::string& message) {
            if (const auto self = weak.lock()) {
                self->report_result(request, upstream, self->classify_failure(request));
                self->on_unknown(request, attempt, message);
            }
        };
        return events;
    }

    void on_data(const request_pointer& request, unsigned attempt, const std::string& data)
    {
        const auto cancel_reason = request->on_data(attempt, data, this->clock_.now());
        if (!cancel_reason.empty()) {
            this->log_.warning("request {} cancelled: {}", request->request().request_id,
                               cancel_reason);
            this->cancel(request);
        }
    }

    void on_refused(const request_pointer& request, unsigned attempt, wire::refusal_reason reason,
                    const std::string& message)
    {
        const auto handling = refusal_handling_for(reason);
        this->end_attempt(request, attempt, false, handling.retry_on_other_agent,
                          {outcome::not_run, handling.kind, message, handling.remedy});
    }

    void on_unknown(const request_pointer& request, unsigned attempt, const std::string& message)
    {
        this->end_attempt(request, attempt, true, request->request().idempotent,
                          {outcome::unknown, error_kind::outcome_unknown, message,
                           "Send the request again with the same Idempotency-Key."});
    }

    /// Counts a passed deadline as a failure of the upstream only if the upstream sent no data
    /// although it had at least twice the first-token target: callers with short deadlines must
    /// not cause a healthy upstream to be ejected.
    policy::call_outcome classify_failure(const request_pointer& request) const
    {
        const auto& work = request->request();
        const bool had_ample_time = work.deadline - work.received >= 2 * work.first_token_target;
        return this->clock_.now() < work.deadline || (had_ample_time && !request->has_data())
                   ? policy::call_outcome::failed
                   : policy::call_outcome::abandoned;
    }

    void report_result(const request_pointer& request, const std::string& upstream,
                       policy::call_outcome result)
    {
        this->find_or_create_queue(request->request().target)
            .on_result(upstream, result, this->clock_.now());
    }

    void end_attempt(const request_pointer& request, unsigned attempt, bool may_have_run,
                     bool retryable, const request_failure& failure)
    {
        const auto now = this->clock_.now();
        const auto may_retry = [this, retryable, attempt, now, &request] {
            return retryable && attempt < max_attempts && now < request->request().deadline &&
                   this->find_or_create_queue(request->request().target).try_retry();
        };
        switch (request->end_attempt(attempt, may_have_run, may_retry, now)) {
        case attempt_followup::stale:
            break;
        case attempt_followup::retry:
            this->log_.debug("retrying request {}: {}", request->request().request_id,
                             failure.message);
            this->enqueue(request);
            break;
        case attempt_followup::failed:
            this->fail(request, failure);
            break;
        }
    }

    void fail(const request_pointer& request, const request_failure& failure)
    {
        std::optional<running_dispatch> running;
        const auto record = request->fail(failure, this->clock_.now(), running);
        this->close_request(request, record, running);
    }

    void cancel(const request_pointer& request)
    {
        std::optional<running_dispatch> running;
        const auto record = request->cancel(this->clock_.now(), running);
        this->close_request(request, record, running);
    }

    void close_request(const request_pointer& request, const std::optional<request_record>& record,
                       const std::optional<running_dispatch>& running)
    {
        if (!record) {
            return;
        }
        auto& queue = this->find_or_create_queue(request->request().target);
        queue.close(request);
        if (running) {
            this->report_result(request, running->upstream,
                                record->cancelled ? policy::call_outcome::abandoned
                                                  : this->classify_failure(request));
            if (running->dispatch_id != 0) {
                running->link->cancel(running->dispatch_id);
            }
        }
        this->observer_.on_request_ended(*record);
        this->dispatch_ready(queue);
    }

    const clock_source& clock_;
    dispatcher_options options_;
    request_observer& observer_;
    logger log_{"queue"};
    std::atomic<std::uint64_t> last_id_ = 0;
    mutable std::shared_mutex mutex_;
    std::map<std::string, std::unique_ptr<target_queue>> queues_;
};

request_dispatcher::request_dispatcher(const clock_source& clock, dispatcher_options options,
                                       request_observer& observer)
    : impl_(std::make_shared<implementation>(clock, std::move(options), observer))
{
}

request_dispatcher::~request_dispatcher() = default;

void request_dispatcher::submit(work_request request,
                                const std::shared_ptr<transport::response_stream>& response)
{
    this->impl_->submit(std::move(request), response);
}

void request_dispatcher::set_upstreams(const std::string& target,
                                       std::vector<dispatch_target> upstreams)
{
    this->impl_->set_upstreams(target, std::move(upstreams));
}

void request_dispatcher::set_priorities(const std::vector<policy::priority_rule>& priorities)
{
    this->impl_->set_priorities(priorities);
}

void request_dispatcher::on_capacity_available(const std::string& target)
{
    this->impl_->on_capacity_available(target);
}

void request_dispatcher::tick()
{
    this->impl_->tick();
}

std::vector<queue_status> request_dispatcher::queues() const
{
    return this->impl_->queues();
}

std::size_t request_dispatcher::open_requests() const
{
    std::size_t count = 0;
    for (const auto& it : this->impl_->queues()) {
        count += it.waiting + it.running;
    }
    return count;
}

} // namespace medlaryoke::controllers
