#include "gateway/service_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "gateway/proxied_request.h"

namespace medlaryoke::gateway {

namespace {

// Connections kept open to one upstream. No more connections are in use at once than it has slots.
constexpr std::size_t max_idle_connections = 24;

// Under load, a connection is reused several times a second. One that is idle for longer may have
// been dropped by the network or the upstream, and opening a new one takes only 1 ms.
constexpr auto max_idle_time = std::chrono::seconds(2);

} // namespace

service_dispatcher::service_dispatcher(transport::runtime& context, const clock_source& clock,
                                       const caller_protocol& protocol, gateway_metrics& metrics,
                                       policy::byte_budget& held_bytes, prompt_guard& guard,
                                       rate_limits& limits, std::string name, std::uint64_t seed)
    : context_(context), clock_(clock), protocol_(protocol), metrics_(metrics),
      held_bytes_(held_bytes), guard_(guard), limits_(limits), name_(std::move(name)),
      scheduler_({}, seed), wait_policy_({}, seed + 1)
{
    this->scheduler_.set_rate_limits(this->limits_.shared());
}

void service_dispatcher::set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                                       const std::string& own_data_centre)
{
    std::unordered_map<std::uint64_t, connected_upstream> next;
    std::vector<std::uint64_t> incarnations;
    for (const auto& entry : upstreams) {
        incarnations.push_back(model::incarnation_hash(entry));
        const auto key = hash64(entry.id);
        const auto previous = this->upstreams_.find(key);
        const bool is_unchanged = previous != this->upstreams_.end() &&
                                  previous->second.entry.address == entry.address &&
                                  previous->second.entry.started_at == entry.started_at;
        next[key] = {entry, is_unchanged ? previous->second.client
                                         : std::make_shared<transport::http_client>(
                                               this->context_, entry.address, max_idle_connections,
                                               max_idle_time)};
    }
    this->upstreams_ = std::move(next);
    this->limits_.shared().set_upstreams(hash64(this->name_), incarnations);
    this->scheduler_.set_upstreams(upstreams, own_data_centre);
    this->dispatch();
}

void service_dispatcher::set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                                         const policy::load_reports& reports)
{
    this->scheduler_.set_remote_load(running, reports);
    this->dispatch();
}

void service_dispatcher::set_retry_budget(const policy::attempt_budget_options& options,
                                          std::size_t gateway_count)
{
    this->retry_budget_.configure(options, gateway_count);
}

void service_dispatcher::submit(const std::shared_ptr<proxied_request>& request)
{
    const auto& details = request->details();
    this->retry_budget_.on_request(this->clock_.now());
    this->limits_.shared().on_request(hash64(this->name_), this->clock_.now());
    this->queue(request, false, {},
                this->wait_policy_.wait_until(details.arrived, details.route->target_latency,
                                              details.deadline, details.route->is_stream));
}

bool service_dispatcher::has_alternative(const std::vector<std::uint64_t>& excluded) const
{
    return this->scheduler_.has_alternative(excluded);
}

void service_dispatcher::resubmit(const std::shared_ptr<proxied_request>& request,
                                  const std::vector<std::uint64_t>& excluded, time_point wait_until)
{
    this->queue(request, true, excluded, wait_until);
}

void service_dispatcher::queue(const std::shared_ptr<proxied_request>& request, bool is_retry,
                               const std::vector<std::uint64_t>& excluded, time_point wait_until)
{
    const auto& details = request->details();
    this->waiting_[details.number] = request;
    this->scheduler_.push({details.number, details.organisation_priority, details.priority,
                           is_retry, details.route->repeat != model::repeat_rule::unsafe,
                           details.prompt_tokens, details.arrived, wait_until, excluded});
    this->dispatch();
}

void service_dispatcher::remove_waiting(std::uint64_t number)
{
    if (this->waiting_.erase(number) > 0) {
        this->scheduler_.remove(number);
    }
}

void service_dispatcher::configure(const model::route_config& config)
{
    const auto found = config.services.find(this->name_);
    if (found == config.services.end() || !found->second.engine) {
        this->step_limit_.configure({}, {});
        return;
    }
    duration min_target_gap{};
    for (const auto& route : config.routes) {
        const bool uses_service = std::ranges::any_of(
            route.services, [this](const auto& share) { return share.service == this->name_; });
        if (uses_service && route.target_gap > duration::zero()) {
            min_target_gap = min_target_gap == duration::zero()
                                 ? route.target_gap
                                 : std::min(min_target_gap, route.target_gap);
        }
    }
    this->step_limit_.configure(*found->second.engine, min_target_gap);
}

void service_dispatcher::on_event_gap(duration gap)
{
    const auto running = this->scheduler_.mean_running();
    this->step_limit_.on_gap(gap, running, this->scheduler_.listed_count(), this->clock_.now());
    this->scheduler_.set_limits(this->step_limit_.run_limit(),
                                this->step_limit_.prefill_token_limit(running));
}

void service_dispatcher::on_attempt_ended(std::uint64_t upstream, double starting_tokens)
{
    this->scheduler_.on_end(upstream, starting_tokens, this->clock_.now());
    this->dispatch();
}

void service_dispatcher::on_attempt_result(std::uint64_t upstream, policy::call_outcome outcome,
                                           std::optional<duration> latency)
{
    this->scheduler_.on_result(upstream, outcome, latency, this->clock_.now());
}

void service_dispatcher::on_unreachable(std::uint64_t upstream)
{
    this->scheduler_.on_unreachable(upstream, this->clock_.now());
}

bool service_dispatcher::try_take_retry()
{
    return this->retry_budget_.try_take(this->clock_.now());
}

void service_dispatcher::tick()
{
    for (const auto number : this->scheduler_.take_expired(this->clock_.now())) {
        const auto found = this->waiting_.find(number);
        if (found != this->waiting_.end()) {
            const auto request = std::move(found->second);
            this->waiting_.erase(found);
            request->on_queue_timeout();
        }
    }
    this->dispatch();
}

void service_dispatcher::dispatch()
{
    // An attempt that ends immediately calls dispatch() again; the outer loop continues then.
    if (std::exchange(this->dispatching_, true)) {
        return;
    }
    for (auto assignments = this->scheduler_.take_ready(this->clock_.now()); !assignments.empty();
         assignments = this->scheduler_.take_ready(this->clock_.now())) {
        for (const auto& [number, key] : assignments) {
            const auto found = this->waiting_.find(number);
            const auto request = std::move(found->second);
            this->waiting_.erase(found);
            const auto& upstream = this->upstreams_.at(key);
            request->on_assigned({key, model::incarnation_hash(upstream.entry), upstream.entry.id,
                                  upstream.entry.address, upstream.client});
        }
    }
    this->dispatching_ = false;
}

} // namespace medlaryoke::gateway
