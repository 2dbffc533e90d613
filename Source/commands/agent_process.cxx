#include "commands/agent_process.h"

#include <chrono>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/error.h"
#include "base/identifiers.h"
#include "controllers/agent_session.h"

namespace medlaryoke::commands {

namespace {

/// Maximum delay before an expired deadline or a silent entry is detected.
constexpr duration tick_interval = std::chrono::milliseconds(50);

/// Interval at which an upstream that is down is probed.
constexpr duration probe_interval = std::chrono::seconds(1);

/// Interval at which a draining agent checks whether it is idle. The first check runs late enough
/// that the frames announcing the drain have been sent.
constexpr duration drain_poll_interval = std::chrono::milliseconds(100);

policy::unix_time unix_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::shared_ptr<controllers::claim_controller>
make_claims(const model::agent_settings& settings, std::uint64_t incarnation,
            const clock_source& clock, transport::log_service& log, transport::runtime& runtime)
{
    controllers::claim_controller_options options;
    options.partitions = settings.claim_partitions;
    options.retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.claim_retention);
    options.batch_interval = settings.claim_batch_interval;
    options.agent_incarnation = incarnation;
    return std::make_shared<controllers::claim_controller>(
        clock, log, options,
        controllers::claim_controller_ports{
            .after = [&runtime](duration delay,
                                std::function<void()> fn) { runtime.after(delay, std::move(fn)); },
            .unix_now = unix_now});
}

controllers::agent_server_options make_server_options(const model::agent_settings& settings,
                                                      std::uint64_t incarnation)
{
    controllers::agent_server_options options;
    options.incarnation = incarnation;
    options.instance = settings.instance.instance;
    options.data_centre = settings.instance.data_centre;
    options.serves = settings.serves;
    options.admission.initial_limit = settings.initial_limit;
    options.admission.max_limit = settings.max_limit;
    return options;
}

} // namespace

agent_process::agent_process(const model::agent_settings& settings)
    : settings_(settings), incarnation_(make_random_id()), runtime_(settings.instance.threads),
      log_service_(runtime_, settings.platform.log, settings.platform.request_timeout),
      claims_(make_claims(settings, incarnation_, clock_, log_service_, runtime_)),
      upstream_(runtime_, {.address = settings.upstream_address,
                           .is_engine = settings.upstream_type == "engine"}),
      server_(std::make_shared<controllers::agent_server>(
          clock_, make_server_options(settings, incarnation_), this->make_server_ports(), upstream_,
          *claims_)),
      group_(std::make_shared<controllers::group_member>(
          runtime_, clock_, log_service_,
          controllers::group_member_options{.upstream = settings.upstream,
                                            .upstream_address = settings.upstream_address,
                                            .instance = settings.instance.instance,
                                            .agent_incarnation = incarnation_}))
{
    this->channel_ = std::make_unique<transport::message_server>(
        this->runtime_, settings.listen_address,
        transport::message_server_events{
            .on_frame = [this](const transport::connection_id& connection,
                               const wire::frame& frame) {
                const auto reply = [this, connection](wire::frame reply_frame) {
                    this->channel_->send(connection, std::move(reply_frame));
                };
                if (!this->group_->on_frame(frame, reply)) {
                    this->server_->on_frame(connection, frame);
                }
            }});
    transport::http_server_options options;
    options.address = settings.operator_address;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    this->operator_server_ = std::make_unique<transport::http_server>(
        this->runtime_, options,
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::response_stream>& response) {
            response->respond(controllers::answer_agent_operator_request(request, this->status()));
        });
    this->config_.subscribe([this](const auto& config) { this->on_config(*config); });
}

agent_process::~agent_process()
{
    this->runtime_.stop();
}

void agent_process::run()
{
    this->runtime_.on_termination_signal([this] { this->begin_drain(); });
    this->claims_->start();
    this->tick_periodically();
    this->send_heartbeats_periodically();
    this->probe_upstream_periodically();
    this->group_->start();
    this->runtime_.start();
    this->log_.info("Serving upstream {} at {} to entries on {}, operators on {}, incarnation "
                    "{:016x}.",
                    this->settings_.upstream, this->settings_.upstream_address,
                    this->channel_->address(), this->operator_server_->address(),
                    this->incarnation_);
    this->runtime_.wait();
    if (this->drain_timed_out_) {
        throw error(error_kind::unavailable,
                    fmt::format("agent {} stopped after {} s with unfinished requests",
                                this->settings_.instance.instance,
                                this->settings_.drain_timeout / std::chrono::seconds(1)),
                    "Raise drain_timeout, or stop the callers of long requests first.");
    }
    this->log_.info("Stopped.");
}

void agent_process::begin_drain()
{
    if (this->draining_.exchange(true)) {
        return;
    }
    this->log_.info("Draining: new work is refused.");
    this->update_leaving();
    this->stop_when_drained(this->clock_.now() + this->settings_.drain_timeout);
}

std::string agent_process::entry_address() const
{
    return this->channel_->address();
}

std::string agent_process::operator_address() const
{
    return this->operator_server_->address();
}

controllers::agent_server_ports agent_process::make_server_ports()
{
    return {
        .send = [this](const transport::connection_id& connection,
                       wire::frame frame) { this->channel_->send(connection, std::move(frame)); },
        .config_offset = [this] { return this->config_.view()->offset; },
        .config_records_from =
            [this](std::uint64_t offset) { return this->config_.records_from(offset); },
        .apply_config_records =
            [this](const wire::config_records& records) { this->config_.fold(records); },
        .on_other_frame = {}};
}

void agent_process::on_config(const controllers::config_view& config)
{
    std::vector<policy::priority_rule> rules;
    rules.reserve(config.priorities.size());
    for (const auto& [name, item] : config.priorities) {
        rules.push_back({.order = item.spec.order,
                         .floor = item.spec.floor,
                         .worth = item.spec.worth,
                         .first_token_target = item.spec.first_token_target});
    }
    this->server_->set_priorities(rules);
    const auto own_upstream = config.upstreams.find(this->settings_.upstream);
    this->group_->on_config(config);
    this->configured_leaving_ = own_upstream != config.upstreams.end() &&
                                own_upstream->second.spec.state == model::upstream_state::leaving;
    this->update_leaving();
}

void agent_process::update_leaving()
{
    this->server_->set_leaving(this->draining_ || this->configured_leaving_);
}

void agent_process::tick_periodically()
{
    this->runtime_.after(tick_interval, [this] {
        this->server_->tick();
        this->tick_periodically();
    });
}

void agent_process::send_heartbeats_periodically()
{
    this->runtime_.after(controllers::heartbeat_interval, [this] {
        this->server_->send_heartbeats();
        this->send_heartbeats_periodically();
    });
}

void agent_process::probe_upstream_periodically()
{
    this->runtime_.after(probe_interval, [this] {
        if (!this->server_->counts().load.upstream_up()) {
            this->upstream_.probe([this](bool up) { this->server_->set_upstream_up(up); });
        }
        this->probe_upstream_periodically();
    });
}

void agent_process::stop_when_drained(time_point deadline)
{
    this->runtime_.after(drain_poll_interval, [this, deadline] {
        const bool drained = this->server_->drained();
        if (drained || this->clock_.now() >= deadline) {
            this->drain_timed_out_ = !drained;
            this->runtime_.stop();
            return;
        }
        this->stop_when_drained(deadline);
    });
}

controllers::agent_status agent_process::status() const
{
    return {.upstream = this->settings_.upstream,
            .draining = this->draining_,
            .config_offset = this->config_.view()->offset,
            .pending_claim_records = this->claims_->pending(),
            .counts = this->server_->counts()};
}

} // namespace medlaryoke::commands
