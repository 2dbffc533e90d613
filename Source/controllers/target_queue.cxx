#include "controllers/target_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"

namespace medlaryoke::controllers {

namespace {

bool has_room(const policy::upstream_candidate& candidate)
{
    return candidate.available &&
           candidate.reported_load + candidate.dispatched_since < candidate.limit;
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
        candidate.dispatched_since = view.dispatched_since_report;
        candidate.limit = view.load.limit();
        candidate.first_token_latency = std::chrono::microseconds(view.load.latency_us());
        candidates.push_back(candidate);
    }
    return candidates;
}

/// Rendezvous hashing, so that repeats of a key reach the agent that remembers it.
/// @param candidates at least one has room
std::size_t choose_by_key(const std::vector<policy::upstream_candidate>& candidates,
                          const std::string& key)
{
    std::size_t best = 0;
    std::uint64_t best_weight = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto weight = hash64(key, candidates[n].id);
        if (has_room(candidates[n]) && weight >= best_weight) {
            best = n;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

target_queue::target_queue(policy::work_queue_options options, std::uint64_t seed)
    : queue_(std::move(options)), selector_(seed),
      upstreams_(std::make_shared<const std::vector<dispatch_target>>())
{
}

void target_queue::open(const request_pointer& request)
{
    const std::scoped_lock lock(this->mutex_);
    this->open_.emplace(request->id(), request);
    this->retries_.on_request();
}

bool target_queue::try_retry()
{
    const std::scoped_lock lock(this->mutex_);
    return this->retries_.try_retry();
}

std::vector<target_queue::request_pointer> target_queue::push(const request_pointer& request,
                                                              time_point now)
{
    const std::scoped_lock lock(this->mutex_);
    if (!this->open_.contains(request->id())) {
        return {};
    }
    const auto& work = request->request();
    policy::work_item item;
    item.id = request->id();
    item.priority = work.priority_order;
    item.organisation = work.organisation;
    item.share = work.share;
    item.cost = work.cost;
    item.deadline = work.deadline;
    std::vector<request_pointer> shed;
    for (const auto& it : this->queue_.push(std::move(item), now)) {
        shed.push_back(this->find(it.id));
    }
    std::erase(shed, nullptr);
    return shed;
}

void target_queue::close(const request_pointer& request)
{
    const std::scoped_lock lock(this->mutex_);
    this->queue_.remove(request->id());
    this->open_.erase(request->id());
}

void target_queue::dispatch_ready(
    const std::function<time_point()>& now,
    const std::function<void(const request_pointer&, const dispatch_target&)>& start)
{
    {
        const std::scoped_lock lock(this->mutex_);
        if (std::exchange(this->dispatching_, true)) {
            this->dispatch_again_ = true;
            return;
        }
    }
    while (true) {
        std::unique_lock lock(this->mutex_);
        this->dispatch_again_ = false;
        const auto upstreams = this->upstreams_;
        const bool idle = this->queue_.size() == 0;
        lock.unlock();
        auto candidates = idle ? candidate_list{} : make_candidates(*upstreams);
        lock.lock();
        if (this->upstreams_ != upstreams) {
            continue;
        }
        const auto next = this->take_next(*upstreams, std::move(candidates), now());
        if (!next && !this->dispatch_again_) {
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
target_queue::take_next(const std::vector<dispatch_target>& upstreams, candidate_list candidates,
                        time_point now)
{
    if (std::ranges::none_of(candidates, has_room)) {
        return std::nullopt;
    }
    for (auto item = this->queue_.pop(now); item.has_value(); item = this->queue_.pop(now)) {
        auto request = this->find(item->id);
        if (request == nullptr) {
            continue;
        }
        const auto upstream = this->choose(*request, upstreams, candidates, now);
        return assignment{std::move(request), upstream};
    }
    return std::nullopt;
}

std::size_t target_queue::choose(const pending_request& request,
                                 const std::vector<dispatch_target>& upstreams,
                                 candidate_list candidates, time_point now)
{
    const auto& work = request.request();
    const auto was_tried = [&request](const dispatch_target& upstream) {
        return std::ranges::find(request.tried(), upstream.upstream) != request.tried().end();
    };
    auto fresh = candidates;
    for (std::size_t n = 0; n < fresh.size(); ++n) {
        fresh[n].available = fresh[n].available && !was_tried(upstreams[n]);
    }
    if (std::ranges::any_of(fresh, has_room)) {
        candidates = std::move(fresh);
    }
    if (!work.idempotent) {
        return choose_by_key(candidates, work.idempotency_key);
    }
    policy::request_features features;
    features.prefix_hashes = work.prefix_hashes;
    features.cost = work.cost;
    // The selector may keep some room free; what was taken from the queue still has to go.
    return this->selector_.choose(candidates, features, now)
        .value_or(choose_by_key(candidates, work.idempotency_key));
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
    requests.reserve(this->open_.size());
    std::ranges::transform(this->open_, std::back_inserter(requests),
                           [](const auto& entry) { return entry.second; });
    return requests;
}

void target_queue::set_upstreams(std::vector<dispatch_target> upstreams)
{
    auto list = std::make_shared<const std::vector<dispatch_target>>(std::move(upstreams));
    const std::scoped_lock lock(this->mutex_);
    this->upstreams_ = std::move(list);
}

void target_queue::set_priorities(std::vector<policy::priority_rule> priorities)
{
    const std::scoped_lock lock(this->mutex_);
    this->queue_.set_priorities(std::move(priorities));
}

queue_status target_queue::status(const std::string& target) const
{
    const std::scoped_lock lock(this->mutex_);
    const auto waiting = this->queue_.size();
    return {target, waiting, this->open_.size() - std::min(waiting, this->open_.size())};
}

target_queue::request_pointer target_queue::find(std::uint64_t id) const
{
    const auto it = this->open_.find(id);
    return it == this->open_.end() ? nullptr : it->second;
}

} // namespace medlaryoke::controllers
