#include "gateway/service_dispatcher.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/digest.h"
#include "gateway/proxied_request.h"

namespace medlaryoke::gateway {

namespace {

// Connections kept open to one upstream. No more connections are in use at once than it has slots.
constexpr std::size_t max_idle_connections = 24;

// Under load, a connection is reused several times a second. One that is idle for longer may have
// been dropped by the network or the upstream, and opening a new one takes only 1 ms.
constexpr auto max_idle_time = std::chrono::seconds(2);

// Limits that depend on the running requests are computed again at least this often, also while no
// stream of this gateway has events.
constexpr auto limit_update_interval = std::chrono::milliseconds(200);

} // namespace

service_dispatcher::service_dispatcher(transport::runtime& context, const clock_source& clock,
                                       const caller_protocol& protocol, gateway_metrics& metrics,
                                       policy::byte_budget& held_bytes, prompt_guard& guard,
                                       rate_limits& limits, notice_exchange& notices,
                                       const cold_start_bounds& cold_bounds,
                                       std::string_view gateway, std::string name,
                                       std::uint64_t seed)
    : context_(context), clock_(clock), protocol_(protocol), metrics_(metrics),
      held_bytes_(held_bytes), guard_(guard), limits_(limits), notices_(notices),
      name_(std::move(name)), cold_bounds_(cold_bounds), scheduler_({}, seed),
      wait_policy_({}, seed + 1), cold_(hash64(gateway))
{
    this->scheduler_.set_rate_limits(this->limits_.shared());
    this->scheduler_.set_notices(this->notices_.notices());
    this->scheduler_.set_cold_start(this->cold_);
}

void service_dispatcher::set_upstreams(const std::vector<model::upstream_entry>& upstreams,
                                       const std::string& own_data_centre)
{
    std::unordered_map<std::uint64_t, connected_upstream> next;
    std::vector<std::uint64_t> incarnations;
    const auto now = this->clock_.now();
    for (const auto& entry : upstreams) {
        incarnations.push_back(model::incarnation_hash(entry));
        this->note_cold_start(entry);
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
    this->has_upstreams_ = true;
    this->limits_.shared().set_upstreams(hash64(this->name_), incarnations);
    this->notices_.notices().set_upstreams(hash64(this->name_), incarnations, now);
    this->scheduler_.set_upstreams(upstreams, own_data_centre);
    this->dispatch();
}

void service_dispatcher::note_cold_start(const model::upstream_entry& entry)
{
    if (!this->cold_.is_limited()) {
        return;
    }
    const auto upstream = model::incarnation_hash(entry);
    const auto known = this->upstreams_.find(hash64(entry.id));
    const bool is_known = known != this->upstreams_.end();
    // Those of the first list run already. Where a data centre is taken back, its upstreams may
    // have become cold before it was evacuated.
    const bool has_started =
        this->has_upstreams_ && (!is_known || known->second.entry.started_at != entry.started_at);
    const bool is_taken_back = is_known && known->second.entry.evacuated && !entry.evacuated;
    const auto cold_time = has_started || is_taken_back
                               ? std::max(entry.cold_time, this->cold_.cold_time())
                               : entry.cold_time;
    // A record that is set again without being read again names the same time.
    const bool is_repeated = is_known && known->second.entry == entry;
    if (cold_time > duration::zero() && !is_repeated) {
        this->on_cold(upstream, cold_time);
    }
}

void service_dispatcher::on_cold(std::uint64_t upstream, duration left)
{
    const auto now = this->clock_.now();
    if (!this->cold_.is_limited() || left <= duration::zero()) {
        return;
    }
    if (!this->cold_.is_cold(upstream, now)) {
        this->metrics_.count("upstreams_cold", fmt::format("service=\"{}\"", this->name_));
        this->log_.sample(
            log_level::info, "upstream is cold",
            {{"incarnation", fmt::format("{:016x}", upstream)},
             {"service", this->name_},
             {"left_ms",
              static_cast<std::int64_t>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(left).count())}});
    }
    this->cold_.on_cold(upstream, now + left);
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
    this->cold_.set_gateways(gateway_count);
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
    policy::cold_start_limits cold;
    if (found != config.services.end()) {
        cold = {found->second.cold_requests_per_second, found->second.cold_time,
                this->cold_bounds_.overage, this->cold_bounds_.slack};
    }
    const bool was_limited = this->cold_.is_limited();
    this->cold_.configure(cold);
    if (!was_limited) {
        // The list of upstreams may have come before the first configuration.
        for (const auto& [key, it] : this->upstreams_) {
            this->on_cold(model::incarnation_hash(it.entry), it.entry.cold_time);
        }
    }
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
    this->step_limit_.on_gap(gap, this->scheduler_.mean_running(), this->scheduler_.listed_count(),
                             this->clock_.now());
    this->update_limits();
}

void service_dispatcher::update_limits()
{
    this->limits_updated_at_ = this->clock_.now();
    this->scheduler_.set_limits(
        this->step_limit_.run_limit(),
        this->step_limit_.prefill_token_limit(this->scheduler_.mean_running()));
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

void service_dispatcher::on_refused(std::string_view request)
{
    if (this->scheduler_.mean_running() > 0) {
        return;
    }
    this->metrics_.count("refused_while_idle", fmt::format("service=\"{}\"", this->name_));
    this->log_.sample(log_level::warning, "request refused while nothing runs",
                      {{"id", request},
                       {"service", this->name_},
                       {"upstreams", static_cast<std::int64_t>(this->scheduler_.listed_count())},
                       {"run_limit", this->step_limit_.run_limit()},
                       {"work_factor", this->step_limit_.work_factor()},
                       {"waiting", static_cast<std::int64_t>(this->scheduler_.waiting())}});
}

void service_dispatcher::tick()
{
    const auto now = this->clock_.now();
    this->cold_.on_tick(now);
    if (this->step_limit_.on_tick(now) || now - this->limits_updated_at_ >= limit_update_interval) {
        this->update_limits();
    }
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
    // Also if an assignment fails, or no request would be assigned any more.
    const auto end = [](bool* dispatching) { *dispatching = false; };
    const std::unique_ptr<bool, decltype(end)> guard(&this->dispatching_, end);
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
}

} // namespace medlaryoke::gateway
