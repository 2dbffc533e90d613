#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/digest.h"
#include "base/error.h"
#include "gateway/proxied_request.h"
#include "transport/error_response.h"

namespace medlaryoke::gateway {

namespace {

// Requests that arrive before a configuration is loaded get this Retry-After. Loading takes less
// than 1 s.
constexpr auto unready_retry_after = std::chrono::milliseconds(300);

error make_quarantine_error()
{
    return {error_kind::not_run, "a part of the prompt has ended several upstreams",
            "Send the request without that part, or after the time in Retry-After."};
}

} // namespace

gateway::gateway(transport::runtime& context, const clock_source& clock, gateway_options options,
                 const config_state& config)
    : context_(context), clock_(clock), options_(std::move(options)), config_(config),
      filters_(options_.protocol),
      guard_(context, clock, options_.quarantine, metrics_,
             [this](const auto& parts) { this->on_new_quarantine(parts); }),
      random_(options_.seed)
{
}

gateway::~gateway() = default;

void gateway::handle(const transport::http_request& message,
                     const std::shared_ptr<transport::response_stream>& response)
{
    try {
        if (this->refuses_new_requests_) {
            throw error(error_kind::unavailable, "this gateway is shutting down",
                        "Retry the request at another gateway.");
        }
        auto request = this->filters_.apply(message, this->config_.active(), this->clock_.now());
        this->guard_.on_request(request.shared_parts);
        const auto left = this->guard_.refused_for(request.shared_parts);
        request.tests_quarantine = left && this->guard_.try_test(request.shared_parts);
        if (left && !request.tests_quarantine) {
            this->refuse(message, make_quarantine_error(), *left, response);
            return;
        }
        request.number = ++this->last_request_number_;
        const auto dispatcher = this->dispatcher_for(this->choose_service(*request.route));
        const auto number = request.number;
        const auto proxied = std::make_shared<proxied_request>(
            std::move(request), dispatcher, response,
            [this](std::uint64_t ended) { this->open_requests_.erase(ended); });
        this->open_requests_[number] = proxied;
        proxied->start();
    }
    catch (const error& e) {
        this->refuse(message, e, unready_retry_after, response);
    }
}

void gateway::on_new_quarantine(const std::vector<policy::quarantined_part>& parts)
{
    for (const auto& request : this->all_requests()) {
        request->end_if_quarantined();
    }
    if (this->on_quarantined_) {
        this->on_quarantined_(parts);
    }
}

void gateway::refuse(const transport::http_request& message, const error& failure,
                     duration retry_after,
                     const std::shared_ptr<transport::response_stream>& response)
{
    this->metrics_.count("requests_refused", fmt::format("kind=\"{}\"", to_string(failure.kind())));
    this->log_.sample(
        log_level::info, "request refused",
        {{"id", transport::find_header(message.headers, this->options_.protocol.request_id)},
         {"host", transport::find_header(message.headers, "Host")},
         {"target", message.target},
         {"config", static_cast<std::int64_t>(this->config_.version())},
         {"reason", failure.what()}});
    auto reply = transport::make_error_response(failure);
    if (failure.kind() == error_kind::unavailable || failure.kind() == error_kind::not_run) {
        reply.head.headers.push_back(transport::make_retry_after(retry_after));
    }
    response->respond(std::move(reply));
}

void gateway::apply_config()
{
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        dispatcher->configure(*this->config_.active().config);
    }
}

void gateway::set_upstreams(const std::vector<model::upstream_entry>& upstreams)
{
    std::map<std::string, std::vector<model::upstream_entry>> by_service;
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        by_service[name];
    }
    for (const auto& entry : upstreams) {
        by_service[entry.service].push_back(entry);
    }
    for (const auto& [name, entries] : by_service) {
        const auto previous = this->upstreams_by_service_.find(name);
        if (previous == this->upstreams_by_service_.end() || previous->second != entries) {
            this->dispatcher_for(name)->set_upstreams(entries, this->options_.data_centre);
        }
    }
    this->upstreams_by_service_ = std::move(by_service);
}

void gateway::set_remote_load(const std::unordered_map<std::uint64_t, unsigned>& running,
                              const policy::load_reports& reports, std::size_t gateway_count)
{
    this->remote_load_ = running;
    this->load_reports_ = reports;
    this->gateway_count_ = gateway_count;
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        dispatcher->set_retry_budget(this->options_.retry_budget, gateway_count);
        dispatcher->set_remote_load(running, reports);
    }
}

void gateway::set_retry_budget(const policy::attempt_budget_options& budget)
{
    this->options_.retry_budget = budget;
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        dispatcher->set_retry_budget(budget, this->gateway_count_);
    }
}

void gateway::tick()
{
    this->limits_.tick();
    this->notices_.tick();
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        dispatcher->tick();
    }
    this->guard_.tick();
    for (const auto& request : this->all_requests()) {
        request->tick();
    }
}

void gateway::update_gauges()
{
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        const auto label = fmt::format("service=\"{}\"", name);
        this->metrics_.set("run_limit", label, dispatcher->step_limit().run_limit());
        this->metrics_.set("step_work_factor", label, dispatcher->step_limit().work_factor());
        this->metrics_.set("mean_running", label, dispatcher->scheduler().mean_running());
    }
}

std::vector<std::shared_ptr<proxied_request>> gateway::all_requests() const
{
    std::vector<std::shared_ptr<proxied_request>> requests;
    requests.reserve(this->open_requests_.size());
    for (const auto& [number, request] : this->open_requests_) {
        requests.push_back(request);
    }
    return requests;
}

std::unordered_map<std::uint64_t, unsigned> gateway::running_by_upstream() const
{
    std::unordered_map<std::uint64_t, unsigned> counts;
    for (const auto& [name, dispatcher] : this->dispatchers_) {
        counts.merge(dispatcher->scheduler().own_load());
    }
    return counts;
}

std::shared_ptr<service_dispatcher> gateway::dispatcher_for(const std::string& name)
{
    auto& dispatcher = this->dispatchers_[name];
    if (!dispatcher) {
        dispatcher = std::make_shared<service_dispatcher>(
            this->context_, this->clock_, this->options_.protocol, this->metrics_,
            this->held_bytes_, this->guard_, this->limits_, this->notices_,
            this->options_.cold_start, this->options_.instance, name,
            hash64(name, this->options_.seed));
        dispatcher->set_retry_budget(this->options_.retry_budget, this->gateway_count_);
        dispatcher->set_remote_load(this->remote_load_, this->load_reports_);
        if (this->config_.active().config) {
            dispatcher->configure(*this->config_.active().config);
        }
    }
    return dispatcher;
}

std::string gateway::choose_service(const model::route& route)
{
    if (route.services.empty()) {
        throw error(error_kind::unavailable, fmt::format("route {} has no service", route.name),
                    "Add a service to the route.");
    }
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<double> weights;
    weights.reserve(route.services.size());
    for (const auto& share : route.services) {
        weights.push_back(std::max(share.weight, 0.0));
    }
    if (std::ranges::all_of(weights, [](double weight) { return weight <= 0; })) {
        return route.services.front().service;
    }
    std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
    return route.services[distribution(this->random_)].service;
}

} // namespace medlaryoke::gateway
