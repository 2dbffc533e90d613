#include "commands/entry_process.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "base/duration_text.h"
#include "base/identifiers.h"
#include "controllers/agent_upstream_link.h"
#include "controllers/config_exchange.h"
#include "transport/error_response.h"

namespace medlaryoke::commands {

namespace {

/// Maximum delay before an expired deadline is detected.
constexpr duration tick_interval = std::chrono::milliseconds(50);
/// Minimum interval between updates of the entry list. Every change of the list redistributes the
/// upstreams among the entries.
constexpr duration entry_update_interval = std::chrono::seconds(1);
/// Interval at which a draining entry checks whether it is idle.
constexpr duration drain_poll_interval = std::chrono::milliseconds(50);

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Gives the callbacks of a link access to the link itself. The callbacks may run before the owner
/// has received the link. A mutex is used instead of std::atomic<std::weak_ptr>, because in
/// libstdc++ 12 the load of the latter releases its internal lock with relaxed memory order.
class synchronized_link {
public:
    void set(std::weak_ptr<controllers::agent_upstream_link> link)
    {
        const std::scoped_lock lock(this->mutex_);
        this->link_ = std::move(link);
    }

    [[nodiscard]] std::shared_ptr<controllers::agent_upstream_link> get()
    {
        const std::scoped_lock lock(this->mutex_);
        return this->link_.lock();
    }

private:
    std::mutex mutex_;
    std::weak_ptr<controllers::agent_upstream_link> link_;
};

controllers::delayed_call make_timer(transport::runtime& runtime)
{
    return [&runtime](duration delay, std::function<void()> fn) {
        runtime.after(delay, std::move(fn));
    };
}

} // namespace

entry_process::entry_process(const model::entry_settings& settings)
    : settings_(settings), incarnation_(make_random_id()), runtime_(settings.instance.threads),
      log_service_(runtime_, settings.platform.log, settings.platform.request_timeout),
      config_feed_(log_service_, config_, make_timer(runtime_)),
      config_writer_(log_service_, config_, clock_, make_timer(runtime_)),
      dispatcher_(clock_, {{}, settings.max_queue_items, random_bits()}, statistics_),
      directory_(settings.instance.instance, controllers::peer_silence_limit),
      links_({settings.instance.instance, settings.instance.data_centre, settings.subset_size},
             dispatcher_,
             [this](const std::string& upstream, const model::upstream_spec& spec) {
                 return this->open_link(upstream, spec);
             }),
      operator_status_([this] { return this->status(); }, statistics_),
      resource_api_(
          config_, config_writer_, [this] { return this->confirmed_offset(); }, clock_,
          make_timer(runtime_)),
      handover_(log_service_, clock_, config_, dispatcher_,
                make_runner_name(settings.instance.instance, incarnation_),
                {make_timer(runtime_), [this] { return this->live_runners(); }})
{
    this->start_servers();
    this->config_.subscribe([this](const auto& config) { this->on_config(config); });
    this->snapshot_writer_ = std::make_unique<controllers::snapshot_writer>(
        this->log_service_, this->config_, this->clock_, make_timer(this->runtime_),
        settings.instance.instance, [this] { return this->live_peers(); });
    if (!settings.platform.instance_list.empty()) {
        transport::instance_list_options options;
        options.address = settings.platform.instance_list;
        options.request_timeout = settings.platform.request_timeout;
        this->instance_list_ = std::make_unique<transport::instance_list_client>(
            this->runtime_, std::move(options),
            [this](const auto& list) { this->on_instance_list(list); });
    }
}

void entry_process::run()
{
    this->runtime_.on_termination_signal([this] { this->begin_drain(); });
    this->tick_periodically();
    this->update_entries_periodically();
    this->config_feed_.start();
    this->snapshot_writer_->start();
    this->runtime_.start();
    this->log_.info("Serving callers on {}, operators on {}, entries on {}, incarnation {:016x}.",
                    this->caller_server_->address(), this->operator_server_->address(),
                    this->peers_->address(), this->incarnation_);
    this->runtime_.wait(); // No callback may run while the members are destroyed.
    if (this->unfinished_requests_ > 0) {
        throw error(error_kind::unavailable,
                    fmt::format("entry {} stopped after {} with {} unfinished requests",
                                this->settings_.instance.instance,
                                format_duration(this->settings_.drain_timeout),
                                this->unfinished_requests_.load()),
                    "Raise drain_timeout, or stop the callers of long requests first.");
    }
    this->log_.info("Stopped.");
}

std::shared_ptr<controllers::upstream_link>
entry_process::open_link(const std::string& upstream, const model::upstream_spec& spec)
{
    const auto shared_link = std::make_shared<synchronized_link>();
    controllers::agent_link_events events;
    events.on_load_changed = [this, target = spec.serves] {
        this->dispatcher_.on_capacity_available(target);
    };
    events.config_offset = [this] { return this->config_.view()->offset; };
    events.confirmed_offset = [this] {
        return this->directory_.lowest_confirmed(this->clock_.now(), this->config_.view()->offset);
    };
    events.on_config_frame = [this, shared_link](const wire::frame& frame) {
        auto reply = controllers::handle_config_frame(this->config_, frame);
        const auto link = shared_link->get();
        if (reply && link != nullptr) {
            link->send_config(std::move(*reply));
        }
    };
    events.on_usage = [](const std::vector<wire::organisation_usage>&) {};
    auto link = std::make_shared<controllers::agent_upstream_link>(
        this->runtime_, this->clock_,
        controllers::agent_link_options{upstream, spec.agent, this->settings_.instance.instance,
                                        this->settings_.instance.data_centre, this->incarnation_},
        std::move(events));
    shared_link->set(link);
    return link;
}

controllers::peer_network_events entry_process::make_peer_events()
{
    controllers::peer_network_events events;
    events.own_state = [this] { return this->own_state(); };
    events.on_config_frame = [this](const wire::frame& frame) {
        return controllers::handle_config_frame(this->config_, frame);
    };
    return events;
}

filters::caller_api_options entry_process::make_caller_options()
{
    filters::caller_api_options options;
    options.address_lifetime = this->settings_.address_lifetime;
    options.config = [this] { return this->config_.view(); };
    options.entries = [this] { return this->entries(); };
    return options;
}

filters::filter_chain entry_process::make_filters()
{
    filters::filter_chain_options options;
    options.max_body_bytes = this->settings_.max_body_bytes;
    options.default_timeout = this->settings_.default_timeout;
    options.admission = [this](const filters::request_context&) -> filters::filter_result {
        if (this->draining_) {
            return filters::refuse{
                error_kind::unavailable,
                fmt::format("entry {} is shutting down", this->settings_.instance.instance),
                "Ask GET /v1/entries for other addresses and send the request there."};
        }
        return filters::proceed{};
    };
    return filters::make_filter_chain(std::move(options));
}

void entry_process::start_servers()
{
    this->caller_api_ = std::make_unique<filters::caller_api>(
        this->clock_, this->make_caller_options(), this->make_filters(), this->dispatcher_,
        this->statistics_);
    transport::http_server_options options;
    options.address = this->settings_.caller_address;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    options.max_body_bytes = this->settings_.max_body_bytes;
    this->caller_server_ = std::make_unique<transport::http_server>(
        this->runtime_, options,
        [this](transport::http_request request,
               const std::shared_ptr<transport::response_stream>& response) {
            this->caller_api_->handle(std::move(request), response);
        });
    options.address = this->settings_.operator_address;
    this->operator_server_ = std::make_unique<transport::http_server>(
        this->runtime_, options,
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::response_stream>& response) {
            this->handle_operator(request, response);
        });
    this->peers_ = std::make_unique<controllers::peer_network>(
        this->runtime_, this->clock_,
        controllers::peer_network_options{this->settings_.peer_address, this->settings_.peers,
                                          this->settings_.watched_peers},
        this->directory_, this->make_peer_events());
}

void entry_process::handle_operator(const transport::http_request& request,
                                    const std::shared_ptr<transport::response_stream>& response)
{
    if (!this->operator_status_.handle(request, *response) &&
        !this->resource_api_.handle(request, response) &&
        !this->handover_.handle(request, response)) {
        response->respond(transport::make_error_response(
            error(error_kind::not_found, fmt::format("unknown path \"{}\"", request.target),
                  "Use /v1/resources, /v1/watch, /v1/handover, /v1/status, /v1/samples, /metrics, "
                  "/healthz or /readyz.")));
    }
}

void entry_process::on_config(const std::shared_ptr<const controllers::config_view>& config)
{
    this->config_since_unix_ms_ = unix_ms();
    this->links_.apply(config);
    this->handover_.start(); // Work cannot run before the first configuration has arrived.
}

void entry_process::on_instance_list(const std::vector<transport::listed_instance>& list)
{
    std::vector<std::string> entries;
    std::vector<policy::subset_member> staying_entries;
    std::set<std::string> leaving_entries;
    std::set<std::string> leaving_agents;
    for (const auto& it : list) {
        const bool is_entry = it.role == transport::instance_role::entry;
        if (is_entry) {
            entries.push_back(it.address);
        }
        if (it.leaving && is_entry) {
            leaving_entries.insert(it.instance);
        }
        else if (it.leaving) {
            leaving_agents.insert(it.address);
        }
        else if (is_entry) {
            staying_entries.push_back({it.instance, it.data_centre});
        }
    }
    {
        const std::scoped_lock lock(this->listed_mutex_);
        this->listed_entries_ = std::move(staying_entries);
    }
    this->directory_.set_leaving(std::move(leaving_entries));
    this->links_.set_leaving_agents(std::move(leaving_agents));
    this->peers_->set_listed_peers(entries);
}

wire::peer_state entry_process::own_state() const
{
    const auto offset = this->config_.view()->offset;
    wire::peer_state state;
    state.set_instance(this->settings_.instance.instance);
    state.set_incarnation(this->incarnation_);
    state.set_data_centre(this->settings_.instance.data_centre);
    state.set_caller_address(this->caller_server_->address());
    state.set_draining(this->draining_);
    state.set_config_offset(offset);
    // Excludes the offsets reported by peers: two entries that wait for each other would never
    // advance.
    state.set_confirmed_offset(this->links_.lowest_confirmed_offset(offset));
    return state;
}

std::vector<controllers::entry_address> entry_process::entries() const
{
    auto entries = this->directory_.entries(this->clock_.now());
    if (!this->draining_) {
        entries.insert(entries.begin(),
                       {this->caller_server_->address(), this->settings_.instance.data_centre});
    }
    return entries;
}

std::vector<std::string> entry_process::live_peers() const
{
    std::vector<std::string> names;
    for (const auto& it : this->directory_.peers(this->clock_.now())) {
        if (!it.failed && !it.state.draining()) {
            names.push_back(it.state.instance());
        }
    }
    return names;
}

std::vector<controllers::live_runner> entry_process::live_runners() const
{
    std::vector<controllers::live_runner> runners;
    for (const auto& it : this->directory_.peers(this->clock_.now())) {
        if (!it.failed) {
            runners.push_back({make_runner_name(it.state.instance(), it.state.incarnation()),
                               it.state.draining()});
        }
    }
    return runners;
}

std::uint64_t entry_process::confirmed_offset() const
{
    return this->directory_.lowest_confirmed(
        this->clock_.now(), this->links_.lowest_confirmed_offset(this->config_.view()->offset));
}

controllers::entry_status entry_process::status() const
{
    const auto now = this->clock_.now();
    controllers::entry_status status;
    status.instance = this->settings_.instance.instance;
    status.data_centre = this->settings_.instance.data_centre;
    status.incarnation = this->incarnation_;
    status.caller_address = this->caller_server_->address();
    status.draining = this->draining_;
    status.config_offset = this->config_.view()->offset;
    status.log_available = this->config_feed_.is_log_available();
    status.config_since_unix_ms = this->config_since_unix_ms_;
    status.confirmed_offset = this->directory_.lowest_confirmed(
        now, this->links_.lowest_confirmed_offset(status.config_offset));
    status.max_queue_items = this->settings_.max_queue_items;
    status.max_body_bytes = this->settings_.max_body_bytes;
    status.subset_size = this->settings_.subset_size;
    status.open_connections = this->caller_server_->open_connections();
    status.links = this->links_.status();
    status.queues = this->dispatcher_.queues();
    status.peers = this->directory_.peers(now);
    return status;
}

void entry_process::tick_periodically()
{
    this->dispatcher_.tick();
    this->links_.tick();
    this->runtime_.after(tick_interval, [this] { this->tick_periodically(); });
}

void entry_process::update_entries_periodically()
{
    std::map<std::string, std::string> data_centres;
    {
        const std::scoped_lock lock(this->listed_mutex_);
        for (const auto& it : this->listed_entries_) {
            data_centres[it.name] = it.data_centre;
        }
    }
    // The state that peers report about themselves takes precedence over the instance list, which
    // lags behind.
    for (const auto& it : this->directory_.peers(this->clock_.now())) {
        data_centres[it.state.instance()] = it.state.data_centre();
        if (it.failed || it.state.draining()) {
            data_centres.erase(it.state.instance());
        }
    }
    data_centres[this->settings_.instance.instance] = this->settings_.instance.data_centre;
    std::vector<policy::subset_member> entries;
    entries.reserve(data_centres.size());
    for (const auto& [name, data_centre] : data_centres) {
        entries.push_back({name, data_centre});
    }
    this->links_.set_entries(std::move(entries));
    this->runtime_.after(entry_update_interval, [this] { this->update_entries_periodically(); });
}

void entry_process::begin_drain()
{
    this->log_.info("Shutting down: no new requests, {} running.",
                    this->dispatcher_.open_requests());
    this->draining_ = true;
    this->handover_.drain();
    this->peers_->announce();
    const auto deadline = this->clock_.now() + this->settings_.drain_timeout;
    // Callers may use a cached address until its lifetime ends. Until then they receive a reply
    // stating that their request was not run, instead of a refused connection.
    this->runtime_.after(this->settings_.address_lifetime, [this, deadline] {
        this->caller_server_->drain();
        this->stop_when_idle(deadline);
    });
}

void entry_process::stop_when_idle(time_point deadline)
{
    const auto requests = this->dispatcher_.open_requests();
    const bool idle = requests == 0 && this->handover_.active_items() == 0 &&
                      this->caller_server_->open_connections() == 0;
    if (idle || this->clock_.now() >= deadline) {
        this->unfinished_requests_ = requests;
        this->runtime_.stop();
        return;
    }
    this->runtime_.after(drain_poll_interval, [this, deadline] { this->stop_when_idle(deadline); });
}

} // namespace medlaryoke::commands
