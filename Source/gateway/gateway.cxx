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

// When callers come back that met a gateway without a configuration; one is read within a second.
constexpr auto unready_retry = std::chrono::milliseconds(300);

} // namespace

gateway::gateway(transport::runtime& context, const clock_source& clock, gateway_options options,
                 const config_state& config)
    : context_(context), clock_(clock), options_(std::move(options)), config_(config),
      filters_(options_.protocol), random_(options_.seed)
{
}

gateway::~gateway() = default;

void gateway::handle(const transport::http_request& message,
                     const std::shared_ptr<transport::response_stream>& response)
{
    try {
        if (this->closed_) {
            throw error(error_kind::unavailable, "this gateway is about to end",
                        "Repeat the request at another gateway.");
        }
        auto request = this->filters_.apply(message, this->config_.active(), this->clock_.now());
        request.number = ++this->last_number_;
        const auto target = this->service(this->choose_service(*request.route));
        const auto number = request.number;
        const auto proxied = std::make_shared<proxied_request>(
            std::move(request), target, response,
            [this](std::uint64_t ended) { this->open_.erase(ended); });
        this->open_[number] = proxied;
        proxied->start();
    }
    catch (const error& e) {
        this->refuse(message, e, response);
    }
}

void gateway::refuse(const transport::http_request& message, const error& failure,
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
    if (failure.kind() == error_kind::unavailable) {
        reply.head.headers.push_back(transport::make_retry_after(unready_retry));
    }
    response->respond(std::move(reply));
}

void gateway::on_config()
{
    for (const auto& [name, dispatcher] : this->services_) {
        dispatcher->configure(*this->config_.active().config);
    }
}

void gateway::set_upstreams(const std::vector<model::upstream_entry>& upstreams)
{
    std::map<std::string, std::vector<model::upstream_entry>> by_service;
    for (const auto& [name, dispatcher] : this->services_) {
        by_service[name];
    }
    for (const auto& entry : upstreams) {
        by_service[entry.service].push_back(entry);
    }
    for (const auto& [name, entries] : by_service) {
        const auto known = this->upstreams_.find(name);
        if (known == this->upstreams_.end() || known->second != entries) {
            this->service(name)->set_upstreams(entries, this->options_.data_centre);
        }
    }
    this->upstreams_ = std::move(by_service);
}

void gateway::set_peers(const std::unordered_map<std::uint64_t, unsigned>& running,
                        std::size_t sharers)
{
    this->remote_load_ = running;
    this->sharers_ = sharers;
    for (const auto& [name, dispatcher] : this->services_) {
        dispatcher->set_budget(this->options_.budget, sharers);
        dispatcher->set_remote_load(running);
    }
}

void gateway::set_budget(const policy::attempt_budget_options& budget)
{
    this->options_.budget = budget;
    for (const auto& [name, dispatcher] : this->services_) {
        dispatcher->set_budget(budget, this->sharers_);
    }
}

void gateway::tick()
{
    for (const auto& [name, dispatcher] : this->services_) {
        dispatcher->tick();
    }
    std::vector<std::shared_ptr<proxied_request>> open;
    open.reserve(this->open_.size());
    for (const auto& [number, request] : this->open_) {
        open.push_back(request);
    }
    for (const auto& request : open) {
        request->tick();
    }
}

std::unordered_map<std::uint64_t, unsigned> gateway::running() const
{
    std::unordered_map<std::uint64_t, unsigned> sum;
    for (const auto& [name, dispatcher] : this->services_) {
        sum.merge(dispatcher->scheduler().own_load());
    }
    return sum;
}

std::shared_ptr<service_dispatcher> gateway::service(const std::string& name)
{
    auto& entry = this->services_[name];
    if (!entry) {
        entry = std::make_shared<service_dispatcher>(this->context_, this->clock_,
                                                     this->options_.protocol, this->metrics_, name,
                                                     hash64(name, this->options_.seed));
        entry->set_budget(this->options_.budget, this->sharers_);
        entry->set_remote_load(this->remote_load_);
        if (this->config_.active().config) {
            entry->configure(*this->config_.active().config);
        }
    }
    return entry;
}

std::string gateway::choose_service(const model::route& route)
{
    if (route.services.empty()) {
        throw error(error_kind::unavailable, fmt::format("route {} names no service", route.name),
                    "Name a service in the route.");
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
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return route.services[pick(this->random_)].service;
}

} // namespace medlaryoke::gateway
