#include "controllers/target_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"

namespace medlaryoke::controllers {

namespace {

bool has_capacity(const policy::upstream_candidate& candidate)
{
    return candidate.available &&
           candidate.reported_load + candidate.unreported_dispatches < candidate.limit;
}

std::vector<policy::upstream_candidate>
make_candidates(const std::vector<dispatch_target>& upstreams)
{
    std::vector<policy::upstream_candidate> candidates;
    candidates.reserve(upstreams.size());
    for (const auto& it : upstreams) {
        const auto view = it.link->view();
        policy::upstream_candidate candidate;
        candidate.id = hash64(it.upstream);
        candidate.available =
            !it.leaving && view.connected && view.load.upstream_up() && !view.load.leaving();
        candidate.reported_load = view.load.running() + view.load.queued();
        candidate.reported_queued = view.load.queued();
        candidate.unreported_dispatches = view.dispatched_since_report;
        candidate.limit = view.load.limit();
        candidate.first_token_latency = std::chrono::microseconds(view.load.latency_us());
        candidates.push_back(candidate);
    }
    return candidates;
}

policy::work_item make_item(const pending_request& request)
{
    const auto& work = request.request();
    policy::work_item item;
    item.id = request.id();
    item.priority = work.priority_order;
    item.organisation = work.organisation;
    item.share = work.share;
    item.cost = work.cost;
    item.deadline = work.deadline;
    return item;
}

/// Chooses an upstream by rendezvous hashing of the idempotency key, so that requests that repeat a
/// key reach the agent that has a record of it.
/// @param candidates upstreams, of which at least one has free capacity
/// @param key idempotency key of the request
/// @return index of the upstream
std::size_t choose_by_idempotency_key(const std::vector<policy::upstream_candidate>& candidates,
                                      const std::string& key)
{
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto weight = hash64(key, candidates[n].id);
        if (has_capacity(candidates[n]) && weight >= best_weight) {
            best = n;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

target_queue::target_queue(const policy::work_queue_options& options, std::uint64_t seed)
    : queue_(options), selector_(seed), admission_({.priorities = options.priorities}),
      upstreams_(std::make_shared<const std::vector<dispatch_target>>())
{
}

std::optional<duration> target_queue::admit(const request_pointer& request, time_point now)
{
    const auto item = make_item(*request);
    const std::scoped_lock lock(this->mutex_);
    const policy::work_ahead ahead{
        this->queue_.cost_ahead(item.priority, item.organisation, item.share),
        this->queue_.more_urgent_cost(item.priority)};
    const auto decision = this->admission_.decide(item, ahead, now);
    if (!decision.admitted) {
        return decision.predicted_wait;
    }
    this->open_requests_.emplace(request->id(), request);
    this->retry_budget_.on_request();
    return std::nullopt;
}

void target_queue::on_result(const std::string& upstream, policy::call_outcome result,
                             time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    this->outliers_.on_result(hash64(upstream), result, now);
}

bool target_queue::try_retry()
{
    const std::scoped_lock lock(this->mutex_);
    return this->retry_budget_.try_retry();
}

std::vector<target_queue::request_pointer> target_queue::push(const request_pointer& request,
                                                              time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    if (!this->open_requests_.contains(request->id())) {
        return {};
    }
    std::vector<request_pointer> shed;
    for (const auto& it : this->queue_.push(make_item(*request), now)) {
        shed.push_back(this->find(it.id));
    }
    std::erase(shed, nullptr);
    return shed;
}

void target_queue::close(const request_pointer& request)
{
    const std::scoped_lock lock(this->mutex_);
    this->queue_.remove(request->id());
    this->open_requests_.erase(request->id());
}

void target_queue::dispatch_ready(
    const std::function<time_point()>& now,
    const std::function<void(const request_pointer&, const dispatch_target&)>& start)
{
    {
        const std::scoped_lock lock(this->mutex_);
        if (std::exchange(this->dispatching_, true)) {
            this->dispatch_requested_ = true;
            return;
        }
    }
    while (true) {
        std::unique_lock lock(this->mutex_);
        this->dispatch_requested_ = false;
        const auto upstreams = this->upstreams_;
        const bool idle = this->queue_.size() == 0;
        lock.unlock();
        const auto candidates = idle ? candidate_list{} : make_candidates(*upstreams);
        lock.lock();
        if (this->upstreams_ != upstreams) {
            continue;
        }
        const auto next = this->assign_next(*upstreams, candidates, now());
        if (!next && !this->dispatch_requested_) {
            this->dispatching_ = false;
            return;
        }
        lock.unlock();
        if (next) {
            start(next->request, (*upstreams)[next->upstream]);
        }
    }
}

std::optional<target_queue::assignment>
target_queue::assign_next(const std::vector<dispatch_target>& upstreams,
                          const candidate_list& candidates, time_point now)
{
    auto eligible = candidates;
    this->mark_ejected(eligible);
    const auto capacity_left = this->selector_.assess_slots(eligible);
    if (!capacity_left) {
        return std::nullopt;
    }
    auto request = this->pop(now, *capacity_left);
    if (request == nullptr) {
        return std::nullopt;
    }
    this->admission_.on_served(request->request().priority_order, request->request().cost,
                               this->queue_.size() > 0, now);
    if (const auto probe_target = this->choose_probe(*request, candidates, now)) {
        return assignment{std::move(request), *probe_target};
    }
    const auto upstream =
        this->choose(*request, upstreams, std::move(eligible), *capacity_left, now);
    return assignment{std::move(request), upstream};
}

void target_queue::mark_ejected(candidate_list& candidates) const
{
    for (auto& it : candidates) {
        it.available = it.available && !this->outliers_.is_ejected(it.id);
    }
}

/// Chooses an ejected upstream that is due for a probe. Only idempotent requests are used as
/// probes, because they can be retried if the upstream still fails.
std::optional<std::size_t> target_queue::choose_probe(const pending_request& request,
                                                      const candidate_list& candidates,
                                                      time_point now)
{
    if (!request.request().idempotent) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (has_capacity(candidates[n]) && this->outliers_.is_ejected(candidates[n].id) &&
            this->outliers_.try_probe(candidates[n].id, now)) {
            return n;
        }
    }
    return std::nullopt;
}

target_queue::request_pointer target_queue::pop(time_point now,
                                                policy::slot_availability capacity_left)
{
    while (true) {
        const auto item = this->queue_.pop(now, capacity_left);
        if (!item.has_value()) {
            return nullptr;
        }
        if (auto request = this->find(item->id)) {
            return request;
        }
    }
}

std::size_t target_queue::choose(const pending_request& request,
                                 const std::vector<dispatch_target>& upstreams,
                                 candidate_list candidates, policy::slot_availability capacity_left,
                                 time_point now)
{
    const auto& work = request.request();
    const auto was_tried = [&request](const dispatch_target& upstream) {
        return std::ranges::find(request.tried_upstreams(), upstream.upstream) !=
               request.tried_upstreams().end();
    };
    auto untried = candidates;
    for (std::size_t n = 0; n < untried.size(); ++n) {
        untried[n].available = untried[n].available && !was_tried(upstreams[n]);
    }
    if (std::ranges::any_of(untried, has_capacity)) {
        candidates = std::move(untried);
    }
    if (!work.idempotent) {
        return choose_by_idempotency_key(candidates, work.idempotency_key);
    }
    policy::request_features features;
    features.prefix_hashes = work.prefix_hashes;
    features.cost = work.cost;
    features.may_use_reserve = capacity_left == policy::slot_availability::reserve_only;
    // The selector finds no upstream if only upstreams that were already tried have capacity
    // beyond the reserve. The request was taken from the queue, so it must still be dispatched.
    return this->selector_.choose(candidates, features, now)
        .value_or(choose_by_idempotency_key(candidates, work.idempotency_key));
}

std::vector<target_queue::request_pointer> target_queue::expire(time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    std::vector<request_pointer> expired;
    for (const auto& it : this->queue_.expire(now)) {
        expired.push_back(this->find(it.id));
    }
    std::erase(expired, nullptr);
    return expired;
}

std::vector<target_queue::request_pointer> target_queue::open_requests() const
{
    const std::scoped_lock lock(this->mutex_);
    std::vector<request_pointer> requests;
    requests.reserve(this->open_requests_.size());
    std::ranges::transform(this->open_requests_, std::back_inserter(requests),
                           [](const auto& entry) { return entry.second; });
    return requests;
}

void target_queue::set_upstreams(std::vector<dispatch_target> upstreams)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(upstreams.size());
    std::ranges::transform(upstreams, std::back_inserter(ids),
                           [](const dispatch_target& it) { return hash64(it.upstream); });
    auto list = std::make_shared<const std::vector<dispatch_target>>(std::move(upstreams));
    const std::scoped_lock lock(this->mutex_);
    this->outliers_.set_members(ids);
    this->upstreams_ = std::move(list);
}

void target_queue::set_priorities(std::vector<policy::priority_rule> priorities)
{
    const std::scoped_lock lock(this->mutex_);
    this->admission_.set_priorities(priorities);
    this->queue_.set_priorities(std::move(priorities));
}

queue_status target_queue::status(const std::string& target) const
{
    const std::scoped_lock lock(this->mutex_);
    const auto waiting = this->queue_.size();
    return {target, waiting,
            this->open_requests_.size() - std::min(waiting, this->open_requests_.size())};
}

target_queue::request_pointer target_queue::find(std::uint64_t id) const
{
    const auto it = this->open_requests_.find(id);
    return it == this->open_requests_.end() ? nullptr : it->second;
}

} // namespace medlaryoke::controllers
