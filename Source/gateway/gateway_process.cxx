#include "gateway/gateway_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "policy/group_roster.h"
#include "transport/error_response.h"

namespace medlaryoke::gateway {

namespace {

// Deadlines and timeouts are checked this often, so each is enforced at most this late.
constexpr auto tick_interval = std::chrono::milliseconds(20);

// Delays of the event loop from this length on are logged. A stream event that waits for longer
// makes its stream late.
constexpr auto logged_loop_delay = std::chrono::milliseconds(100);

// Time between two listings of the gateways' topic, which finds gateways that no seed knows.
constexpr auto gateway_list_interval = std::chrono::seconds(15);
constexpr auto publish_retry_delay = std::chrono::seconds(1);

// If a peer has read further for longer than this, the local read is considered stuck. A read
// that is merely slower completes within some ten milliseconds.
constexpr auto max_peer_ahead_time = std::chrono::milliseconds(400);

constexpr auto config_fetch_timeout = std::chrono::milliseconds(800);
constexpr auto config_exchange_timeout = std::chrono::seconds(3); // for the whole response
constexpr std::size_t max_config_bytes = 8U * 1024U * 1024U;

// A draining process stops this long before the end of the grace period, when it would be killed.
constexpr auto kill_margin = std::chrono::milliseconds(400);

// Fraction of the grace period during which a draining process accepts requests. The longest
// streams need the rest of it to complete.
constexpr double accepting_fraction_of_grace = 0.36;

// A draining process without open requests keeps running for this time after the last request, as
// callers cache the directory's addresses for a few seconds.
constexpr auto min_idle_time_before_stop = std::chrono::milliseconds(1500);

// Peers learn after this time that an answer has changed a rate limit, or that an upstream leaves.
// Changes that come together are reported together.
constexpr auto early_report_delay = std::chrono::milliseconds(20);

// Time from one early report to the next, so that an upstream whose answers differ does not make
// this gateway send a heartbeat for each of them.
constexpr auto early_report_interval = std::chrono::milliseconds(200);

// Settings that cannot be read may still be being written.
constexpr auto reload_retry_interval = std::chrono::milliseconds(100);
constexpr unsigned max_reload_retries = 20;

// Bodies at the addresses for queries, which have none.
constexpr std::size_t max_query_bytes = 4U * 1024U;
// Parts of what callers' replies may hold: for configurations, which many gateways may fetch at
// once, and for each of the other addresses.
constexpr std::size_t control_reply_part = 2;
constexpr std::size_t query_reply_part = 8;

// Time to send the last bytes of a response, which are too few to be counted as unread.
constexpr auto flush_time = std::chrono::milliseconds(200);

// A gateway that has just started waits for heartbeats before it can become the coordinator.
constexpr auto initial_election_delay = std::chrono::milliseconds(1500);

// A gateway to which most peers are silent becomes the coordinator only after this time. It is
// longer than most network partitions; meanwhile the coordinator on the other side continues.
constexpr auto partitioned_election_delay = std::chrono::seconds(8);

std::uint64_t random_number()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

transport::http_response text_response(unsigned status, std::string body)
{
    return {{status, {{"Content-Type", "text/plain"}}}, std::move(body)};
}

gateway_options make_gateway_options(const gateway_settings& settings, const deployment& adapter)
{
    gateway_options options;
    options.protocol = adapter.protocol;
    options.instance = settings.instance;
    options.data_centre = settings.data_centre;
    options.retry_budget = settings.retry_budget;
    options.max_held_response_bytes =
        policy::divide(settings.limits, model::caller_limits{}.max_header_bytes).answer_bytes;
    options.cold_start = {settings.cold_overage, settings.cold_slack};
    options.seed = random_number();
    return options;
}

} // namespace

gateway_process::gateway_process(gateway_settings settings, deployment adapter)
    : settings_(std::move(settings)), adapter_(std::move(adapter)), config_(adapter_.decode_config),
      gateway_(context_, clock_, make_gateway_options(settings_, adapter_), config_),
      registry_(settings_.upstreams),
      coordination_(
          context_, clock_,
          [this](const std::string& group, std::function<void(std::optional<std::uint64_t>)> done) {
              this->store_->put(
                  this->adapter_.coordinators_topic, group, this->settings_.instance,
                  [done = std::move(done)](std::optional<policy::log_position> position) {
                      done(position ? std::optional(policy::fencing_token(*position))
                                    : std::nullopt);
                  });
          },
          [this](const std::string& address) {
              return this->adapter_.make_engine_client(this->context_, address);
          })
{
    this->coordination_.set_engines_check_tokens(this->settings_.engines_check_tokens);
}

gateway_process::~gateway_process()
{
    this->context_.stop();
}

void gateway_process::run()
{
    this->log_.note(log_level::info, "start",
                    {{"data_centre", this->settings_.data_centre},
                     {"caller_address", this->settings_.caller_address},
                     {"control_address", this->settings_.control_address},
                     {"seeds", static_cast<std::int64_t>(this->settings_.seeds.size())}});
    this->context_.on_termination_signal([this] { this->drain(); });
    this->context_.on_reload_signal([this] {
        // A retry that is due serves later signals too.
        const bool is_retrying = this->reload_retries_left_ > 0;
        this->reload_retries_left_ = max_reload_retries;
        if (!is_retrying) {
            this->reload_settings();
        }
    });
    this->context_.post([this] { this->start(); });
    this->context_.start();
    this->context_.wait();
    if (this->start_error_) {
        throw *this->start_error_;
    }
    this->log_.note(log_level::info, "stop", {});
}

void gateway_process::start()
{
    this->started_at_ = this->clock_.now();
    this->confirmation_.emplace(this->started_at_);
    this->config_.set_confirmed(false);
    try {
        this->open_listeners();
        this->start_followers();
    }
    catch (const error& e) {
        this->start_error_ = e;
        this->context_.stop();
    }
    catch (const std::exception& e) {
        this->start_error_ = error(error_kind::internal, e.what(), "Report it with the log lines.");
        this->context_.stop();
    }
}

transport::http_server_options gateway_process::make_caller_options() const
{
    const auto& config = this->config_.active().config;
    const auto limits = config ? config->limits : model::caller_limits{};
    const auto held = policy::divide(this->settings_.limits, limits.max_header_bytes);
    transport::http_server_options options;
    options.address = this->settings_.caller_address;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    options.max_header_bytes = limits.max_header_bytes;
    options.max_body_bytes = limits.max_body_bytes;
    options.header_timeout = limits.header_timeout;
    options.idle_timeout = limits.idle_timeout;
    options.max_connections = held.callers;
    options.max_request_bytes = held.request_bytes;
    options.max_reply_bytes = held.reply_bytes;
    return options;
}

void gateway_process::open_listener(
    std::unique_ptr<transport::http_server>& server, const std::string& address,
    std::size_t max_connections, std::size_t reply_part,
    std::function<transport::http_response(const transport::http_request&)> make_response)
{
    if (address.empty()) {
        return;
    }
    transport::http_server_options options;
    options.address = address;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    options.max_body_bytes = max_query_bytes;
    options.max_connections = max_connections;
    options.max_request_bytes = max_connections * max_query_bytes;
    options.max_reply_bytes =
        policy::divide(this->settings_.limits, options.max_header_bytes).reply_bytes / reply_part;
    server = std::make_unique<transport::http_server>(
        this->context_, options,
        [make_response = std::move(make_response)](
            const transport::http_request& request,
            const std::shared_ptr<transport::response_stream>& response) {
            response->respond(make_response(request));
        });
}

void gateway_process::open_listeners()
{
    const auto held =
        policy::divide(this->settings_.limits, transport::http_server_options{}.max_header_bytes);
    this->open_listener(this->readiness_server_, this->settings_.readiness_address, held.operations,
                        query_reply_part, [this](const auto&) {
                            return this->is_ready() ? text_response(200, "ready\n")
                                                    : text_response(503, "not ready\n");
                        });
    this->open_listener(this->directory_server_, this->settings_.directory_address, held.directory,
                        query_reply_part, [this](const auto& request) {
                            return this->adapter_.make_directory_response(request,
                                                                          this->ready_gateways());
                        });
    this->open_listener(
        this->control_server_, this->settings_.control_address, held.operations, control_reply_part,
        [this](const auto& request) { return this->make_control_response(request); });
    this->open_listener(this->metrics_server_, this->settings_.metrics_address, held.operations,
                        query_reply_part,
                        [this](const auto&) { return text_response(200, this->metrics_text()); });
    this->caller_server_ = std::make_unique<transport::http_server>(
        this->context_, this->make_caller_options(),
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::response_stream>& response) {
            this->last_request_at_ = this->clock_.now();
            this->gateway_.handle(request, response);
        });
    policy::peer_heartbeat own_heartbeat;
    own_heartbeat.instance = this->settings_.instance;
    own_heartbeat.incarnation = random_number();
    own_heartbeat.beat_address = this->settings_.heartbeat_address;
    own_heartbeat.control_address = this->settings_.control_address;
    own_heartbeat.caller_address = this->settings_.caller_address;
    own_heartbeat.data_centre = this->settings_.data_centre;
    peer_options options;
    options.bind_retry_interval = transport::default_bind_retry_interval;
    this->peer_exchange_ = std::make_shared<peer_exchange>(
        this->context_, this->clock_, own_heartbeat, options,
        [this](policy::peer_heartbeat& heartbeat) {
            heartbeat.serving = this->is_ready();
            heartbeat.config_version = this->config_.version();
            heartbeat.upstreams_position = this->upstream_follower_
                                               ? this->upstream_follower_->position()
                                               : policy::log_position{};
            heartbeat.running = this->gateway_.running_by_upstream();
            heartbeat.quarantine = this->gateway_.guard().report();
            this->gateway_.limits().fill(heartbeat);
            this->gateway_.notices().fill(heartbeat);
            heartbeat.store = this->store_contact_.report();
            heartbeat.operator_position = this->evacuations_.position();
            heartbeat.evacuated = this->evacuated_;
        },
        [this](const policy::peer_heartbeat& heartbeat, bool was_silent) {
            this->on_peer_heartbeat(heartbeat, was_silent);
        });
    this->peer_exchange_->add_addresses(this->settings_.seeds);
    this->gateway_.limits().on_changed([this] { this->report_soon(); });
    this->gateway_.notices().on_changed([this] { this->report_soon(); });
    this->peer_exchange_->start();
}

void gateway_process::start_followers()
{
    this->store_ = this->adapter_.make_store_client(this->context_);
    const auto follow = [this](const std::string& topic, auto on_changes, auto on_available) {
        auto follower = std::make_shared<topic_follower>(this->context_, *this->store_,
                                                         this->make_follower_options(topic),
                                                         on_changes, on_available);
        follower->start();
        return follower;
    };
    this->config_follower_ = follow(
        this->adapter_.config_topic,
        [this](const auto& it, policy::change_origin origin) {
            this->on_config_changes(it, origin);
        },
        [](bool) {});
    this->upstream_follower_ = follow(
        this->adapter_.upstreams_topic,
        [this](const auto& it, policy::change_origin origin) {
            this->on_upstream_changes(it, origin);
        },
        [this](bool available) {
            this->registry_.on_store(available, this->clock_.now());
            if (!available) {
                this->store_contact_.on_failure(this->clock_.now());
            }
        });
    this->keep_quarantines();
    this->publish_heartbeat_address();
    this->refresh_peer_addresses();
    this->tick();
}

follower_options gateway_process::make_follower_options(const std::string& topic)
{
    follower_options options;
    options.topic = topic;
    options.next_wait = [this](bool after_change) { return this->next_read_wait(after_change); };
    options.on_overdue = [this] { this->read_all_again(); };
    if (topic == this->adapter_.upstreams_topic) {
        options.on_answer = [this] { this->store_contact_.on_answer(this->clock_.now()); };
    }
    return options;
}

duration gateway_process::next_read_wait(bool after_change) const
{
    const auto alive = this->peer_exchange_->table().alive_peers(this->clock_.now());
    return policy::read_wait(this->settings_.reads, this->lower_peers(), alive.size() + 1,
                             after_change);
}

std::size_t gateway_process::lower_peers() const
{
    const auto alive = this->peer_exchange_->table().alive_peers(this->clock_.now());
    return static_cast<std::size_t>(
        std::ranges::count_if(alive, [this](const policy::peer_heartbeat* peer) {
            return peer->instance < this->settings_.instance;
        }));
}

void gateway_process::read_all_again()
{
    for (const auto& follower : {this->config_follower_, this->upstream_follower_}) {
        if (follower) {
            follower->read_again();
        }
    }
}

void gateway_process::keep_quarantines()
{
    this->quarantine_store_ = std::make_shared<quarantine_store>(
        this->context_, this->clock_, *this->store_, this->adapter_.quarantine_topic,
        this->gateway_.guard(), [this] { return this->lower_peers(); });
    this->gateway_.guard().set_tester([this] { return this->lower_peers() == 0; });
    this->gateway_.on_quarantined(
        [this](const auto& parts) { this->quarantine_store_->save(parts); });
    this->quarantine_store_->load();
}

void gateway_process::publish_heartbeat_address()
{
    this->store_->put(this->adapter_.gateways_topic, this->settings_.instance,
                      this->settings_.heartbeat_address,
                      [this](std::optional<policy::log_position> position) {
                          if (position) {
                              this->address_epoch_ = position->epoch;
                          }
                          else if (!this->is_draining_) {
                              this->context_.after(publish_retry_delay,
                                                   [this] { this->publish_heartbeat_address(); });
                          }
                      });
}

void gateway_process::rewrite_own_records()
{
    const auto epoch =
        std::max(this->config_follower_->store_epoch(), this->upstream_follower_->store_epoch());
    if (this->address_epoch_ && *this->address_epoch_ < epoch) {
        this->log_.note(log_level::info, "heartbeat address is written again",
                        {{"store_epoch", static_cast<std::int64_t>(epoch)},
                         {"previous", static_cast<std::int64_t>(*this->address_epoch_)}});
        this->address_epoch_.reset();
        this->publish_heartbeat_address();
    }
    this->quarantine_store_->on_store_epoch(epoch);
}

void gateway_process::refresh_peer_addresses()
{
    this->store_->list(this->adapter_.gateways_topic, [this](const keyed_result& result) {
        if (const auto* page = std::get_if<keyed_records>(&result)) {
            std::vector<std::string> addresses;
            addresses.reserve(page->records.size());
            for (const auto& record : page->records) {
                addresses.push_back(record.value);
            }
            this->peer_exchange_->add_addresses(addresses);
        }
        this->context_.after(gateway_list_interval, [this] { this->refresh_peer_addresses(); });
    });
}

void gateway_process::on_config_changes(const std::vector<policy::keyed_record>& changes,
                                        policy::change_origin origin)
{
    const auto& prefix = this->adapter_.evacuation_prefix;
    for (const auto& change : changes) {
        if (!prefix.empty() && change.key.starts_with(prefix)) {
            this->on_evacuation(change, origin);
        }
    }
    this->update_evacuations();
    for (const auto& change : changes) {
        if (change.key == this->adapter_.config_key && !change.value.empty()) {
            this->apply_config(change.value, "store");
        }
    }
}

void gateway_process::on_evacuation(const policy::keyed_record& change,
                                    policy::change_origin origin)
{
    const auto data_centre = change.key.substr(this->adapter_.evacuation_prefix.size());
    this->evacuations_.on_record(data_centre, !change.value.empty(), origin, this->clock_.now());
    const auto upstreams = this->registry_.upstreams();
    const auto count =
        std::ranges::count(upstreams, data_centre, &model::upstream_entry::data_centre);
    // A data centre without upstreams may be unknown, or about to get some.
    this->log_.note(count == 0 ? log_level::warning : log_level::info, "evacuation",
                    {{"data_centre", data_centre},
                     {"asked", !change.value.empty()},
                     {"offset", static_cast<std::int64_t>(change.offset)},
                     {"from_restored_copy", origin == policy::change_origin::restored_copy},
                     {"upstreams", static_cast<std::int64_t>(count)}});
}

void gateway_process::update_evacuations()
{
    if (this->config_follower_) {
        this->evacuations_.set_position(this->config_follower_->position());
    }
    this->evacuations_.expire(this->clock_.now());
    auto evacuated = this->evacuations_.data_centres();
    if (evacuated == this->evacuated_) {
        return;
    }
    this->evacuated_ = std::move(evacuated);
    this->log_.note(
        log_level::info, "evacuated data centres",
        {{"data_centres", fmt::format("{}", fmt::join(this->evacuated_, " "))},
         {"position", static_cast<std::int64_t>(this->evacuations_.position().offset)}});
    this->update_upstreams();
}

void gateway_process::apply_config(const std::string& record, std::string_view source)
{
    if (!this->config_.apply(record, source)) {
        return;
    }
    this->caller_server_->set_limits(this->make_caller_options());
    this->gateway_.apply_config();
    this->update_upstreams();
    this->confirm_config();
}

void gateway_process::confirm_config()
{
    const auto now = this->clock_.now();
    if (!this->confirmation_ || !this->upstream_follower_ ||
        !this->upstream_follower_->is_complete()) {
        return;
    }
    const auto& peers = this->peer_exchange_->table();
    const auto heard = peers.alive_peers(now);
    policy::known_versions known;
    known.own = this->config_.version();
    known.heard_peers = heard.size();
    known.listed_peers = peers.listed();
    for (const auto* peer : heard) {
        known.newest_heard = std::max(known.newest_heard, peer->config_version);
    }
    if (!this->confirmation_->is_confirmed(known, now)) {
        return;
    }
    this->confirmation_.reset();
    this->config_.set_confirmed(true);
    this->log_.note(log_level::info, "ready",
                    {{"config", static_cast<std::int64_t>(known.own)},
                     {"newest_heard", static_cast<std::int64_t>(known.newest_heard)},
                     {"heard_peers", static_cast<std::int64_t>(known.heard_peers)},
                     {"listed_peers", static_cast<std::int64_t>(known.listed_peers)}});
    this->peer_exchange_->send_now();
}

void gateway_process::on_upstream_changes(const std::vector<policy::keyed_record>& changes,
                                          policy::change_origin origin)
{
    const auto now = this->clock_.now();
    if (origin == policy::change_origin::restored_copy) {
        this->registry_.on_restored(now);
    }
    for (const auto& change : changes) {
        const auto entry = change.value.empty()
                               ? std::nullopt
                               : this->adapter_.decode_upstream(change.key, change.value);
        if (entry) {
            this->registry_.on_entry(*entry, origin, now);
        }
        else {
            this->registry_.on_removed(change.key, now);
        }
        this->log_.sample(log_level::info, "upstream entry",
                          {{"upstream", change.key},
                           {"offset", static_cast<std::int64_t>(change.offset)},
                           {"service", entry ? entry->service : ""},
                           {"address", entry ? entry->address : ""},
                           {"state", !entry            ? "removed"
                                     : entry->draining ? "draining"
                                                       : "ready"},
                           {"group", entry && entry->group ? entry->group->group : ""},
                           {"group_size", static_cast<std::int64_t>(
                                              entry && entry->group ? entry->group->size : 0)},
                           {"group_open", entry && entry->group && entry->group->open},
                           {"from_restored_copy", origin == policy::change_origin::restored_copy}});
    }
    this->update_upstreams();
}

void gateway_process::update_upstreams()
{
    auto upstreams = this->registry_.upstreams();
    if (this->config_.active().config) {
        upstreams =
            policy::without_unusable_entries(std::move(upstreams), *this->config_.active().config);
    }
    auto usable = upstreams;
    for (auto& it : usable) {
        it.evacuated = std::ranges::binary_search(this->evacuated_, it.data_centre);
    }
    this->gateway_.set_upstreams(usable);
    // The engines of an evacuated data centre stay ranks of their groups.
    if (this->config_.active().config) {
        this->coordination_.update(upstreams, *this->config_.active().config);
    }
}

void gateway_process::update_coordinator_role()
{
    // The serving gateway with the lowest name is the coordinator. If two gateways consider each
    // other dead, the higher fencing token of the later one stops the earlier one.
    const auto now = this->clock_.now();
    const auto alive = this->peer_exchange_->table().alive_peers(now);
    const bool has_lowest_name =
        this->is_ready() && std::ranges::none_of(alive, [this](const policy::peer_heartbeat* peer) {
            return peer->serving && peer->instance < this->settings_.instance;
        });
    // If this gateway and its live peers are at most half as many as the known peers, it is more
    // likely partitioned than one of a few survivors.
    const bool is_partitioned = 2 * (alive.size() + 1) <= this->peer_exchange_->table().known();
    if (!has_lowest_name || !is_partitioned) {
        this->partitioned_since_.reset();
    }
    else if (!this->partitioned_since_) {
        this->partitioned_since_ = now;
    }
    const bool must_wait =
        this->partitioned_since_ && now - *this->partitioned_since_ < partitioned_election_delay;
    this->coordination_.set_leader(
        has_lowest_name && !must_wait && now >= this->started_at_ + initial_election_delay, now);
}

void gateway_process::on_peer_heartbeat(const policy::peer_heartbeat& heartbeat, bool was_silent)
{
    if (was_silent) {
        this->gateway_.guard().report_again();
    }
    if (heartbeat.quarantine) {
        this->gateway_.guard().merge(*heartbeat.quarantine);
    }
    this->gateway_.limits().on_heartbeat(heartbeat);
    this->gateway_.notices().on_heartbeat(heartbeat);
    this->evacuations_.on_peer(heartbeat.operator_position, heartbeat.evacuated);
    this->update_evacuations();
    const auto now = this->clock_.now();
    const auto alive = this->peer_exchange_->table().alive_peers(now);
    this->update_remote_load(now);
    const auto newest =
        std::ranges::max_element(alive, {}, &policy::peer_heartbeat::config_version);
    if (newest != alive.end() && (*newest)->config_version > this->config_.version()) {
        this->fetch_config((*newest)->control_address);
    }
    const auto most_advanced =
        std::ranges::max_element(alive, {}, &policy::peer_heartbeat::upstreams_position);
    if (most_advanced == alive.end() || !this->upstream_follower_ ||
        (*most_advanced)->upstreams_position <= this->upstream_follower_->position()) {
        this->peer_ahead_since_.reset();
    }
    else if (!this->peer_ahead_since_) {
        this->peer_ahead_since_ = now;
    }
    else if (now - *this->peer_ahead_since_ > max_peer_ahead_time) {
        this->peer_ahead_since_ = now;
        this->upstream_follower_->catch_up((*most_advanced)->upstreams_position);
    }
}

void gateway_process::update_remote_load(time_point now)
{
    const auto& peers = this->peer_exchange_->table();
    const auto reports = peers.reports(now);
    this->gateway_.set_remote_load(peers.running(now), reports, peers.sharing_gateways(now));
    if (std::exchange(this->reporting_gateways_, reports.gateways) != reports.gateways) {
        this->log_.sample(log_level::info, "load reports",
                          {{"gateways", static_cast<std::int64_t>(reports.gateways)}});
    }
}

void gateway_process::report_soon()
{
    if (!std::exchange(this->is_reporting_early_, true)) {
        this->context_.after(early_report_delay, [this] { this->peer_exchange_->send_now(); });
        this->context_.after(early_report_interval, [this] { this->is_reporting_early_ = false; });
    }
}

void gateway_process::fetch_config(const std::string& control_address)
{
    if (this->is_fetching_config_) {
        return;
    }
    this->config_client_ =
        std::make_unique<transport::http_client>(this->context_, control_address);
    this->is_fetching_config_ = true;
    this->config_client_->fetch(
        {"GET", "/config", {}, {}},
        {config_fetch_timeout, config_fetch_timeout, config_fetch_timeout, config_fetch_timeout,
         config_exchange_timeout},
        [this, control_address](const auto& result) {
            this->is_fetching_config_ = false;
            if (const auto* reply = std::get_if<transport::http_response>(&result);
                reply != nullptr && reply->head.status == 200) {
                this->apply_config(reply->body, "peer " + control_address);
            }
        },
        max_config_bytes);
}

void gateway_process::tick()
{
    // First, so that a failure does not end the ticks.
    this->context_.after(tick_interval, [this] { this->tick(); });
    this->measure_loop_delay();
    // A peer that has ended sends no heartbeat that would remove its load.
    if (const auto now = this->clock_.now();
        this->peer_exchange_->table().reports(now).gateways < this->reporting_gateways_) {
        this->update_remote_load(now);
    }
    this->confirm_config();
    this->rewrite_own_records();
    this->update_evacuations();
    this->judge_outage();
    if (this->registry_.expire(this->clock_.now())) {
        this->update_upstreams();
    }
    if (this->gateway_.limits().shared().has_limits()) {
        const auto& peers = this->peer_exchange_->table();
        const auto now = this->clock_.now();
        this->gateway_.limits().set_gateways(peers.reachable_peers(now),
                                             peers.sharing_gateways(now), this->is_ready());
    }
    this->gateway_.tick();
    this->update_coordinator_role();
}

void gateway_process::judge_outage()
{
    const auto now = this->clock_.now();
    if (!this->registry_.is_recovering(now)) {
        return;
    }
    const auto& table = this->peer_exchange_->table();
    std::vector<std::optional<policy::store_report>> reports;
    for (const auto* peer : table.alive_peers(now)) {
        reports.push_back(peer->store);
    }
    if (this->store_contact_.judge(reports, table.known(), now) == policy::outage_cause::own_path) {
        this->registry_.on_own_outage();
        this->log_.note(log_level::info, "store answered others during the outage",
                        {{"peers", static_cast<std::int64_t>(reports.size())}});
    }
}

void gateway_process::measure_loop_delay()
{
    const auto now = this->clock_.now();
    const auto previous = std::exchange(this->last_tick_at_, now);
    if (previous == time_point{}) {
        return;
    }
    const auto delay = std::max<duration>(now - previous - tick_interval, duration::zero());
    this->gateway_.metrics().observe("loop_delay", {}, delay);
    if (delay >= logged_loop_delay) {
        this->log_.sample(
            log_level::warning, "event loop was late",
            {{"delay_ms",
              static_cast<std::int64_t>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(delay).count())},
             {"open_requests", static_cast<std::int64_t>(this->gateway_.open_requests())}});
    }
}

bool gateway_process::is_ready() const
{
    // A gateway that peers do not hear would use their share of the limits, and coordinate beside
    // another.
    return !this->is_draining_ && !this->confirmation_ && this->started_at_ != time_point{} &&
           this->caller_server_->is_listening() && this->peer_exchange_->is_bound();
}

std::vector<directory_entry> gateway_process::ready_gateways() const
{
    std::vector<directory_entry> entries;
    if (this->is_ready()) {
        entries.push_back({this->settings_.caller_address, this->settings_.data_centre});
    }
    for (const auto* peer : this->peer_exchange_->table().alive_peers(this->clock_.now())) {
        if (peer->serving) {
            entries.push_back({peer->caller_address, peer->data_centre});
        }
    }
    return entries;
}

transport::http_response
gateway_process::make_control_response(const transport::http_request& request)
{
    if (request.target == "/config" && this->config_.version() > 0) {
        return text_response(200, this->config_.record());
    }
    return transport::make_error_response(
        error(error_kind::not_found, "no resource at " + request.target, "Request /config."));
}

std::string gateway_process::metrics_text()
{
    auto& metrics = this->gateway_.metrics();
    this->gateway_.update_gauges();
    metrics.set("open_requests", {}, static_cast<double>(this->gateway_.open_requests()));
    metrics.set("config_version", {}, static_cast<double>(this->config_.version()));
    metrics.set("ready", {}, this->is_ready() ? 1 : 0);
    metrics.set(
        "peers_alive", {},
        static_cast<double>(this->peer_exchange_->table().alive_peers(this->clock_.now()).size()));
    metrics.set("quarantined_parts", {},
                static_cast<double>(this->gateway_.guard().quarantined().size()));
    if (this->caller_server_) {
        const auto usage = this->caller_server_->usage();
        metrics.set("caller_connections", {}, static_cast<double>(usage.connections));
        metrics.set("held_bytes", "kind=\"request\"", static_cast<double>(usage.request_bytes));
        metrics.set("held_bytes", "kind=\"reply\"", static_cast<double>(usage.reply_bytes));
        metrics.set("held_bytes", "kind=\"answer\"",
                    static_cast<double>(this->gateway_.held_answer_bytes()));
        metrics.set("closed_for_new_connections", {},
                    static_cast<double>(usage.closed_connections));
        metrics.set("refused_for_memory", {}, static_cast<double>(usage.refused_requests));
        metrics.set("closed_for_memory", {}, static_cast<double>(usage.closed_replies));
    }
    for (const auto& follower : {this->config_follower_, this->upstream_follower_}) {
        if (follower) {
            const auto label = fmt::format("topic=\"{}\"", follower->topic());
            metrics.set("store_epoch", label, static_cast<double>(follower->store_epoch()));
            metrics.set("topic_position", label, static_cast<double>(follower->position().offset));
            metrics.set("topic_listings", label, static_cast<double>(follower->listings()));
            metrics.set("ignored_records", label, static_cast<double>(follower->ignored_records()));
        }
    }
    metrics.set("map_switches", {}, static_cast<double>(this->coordination_.switches()));
    metrics.set("long_group_holds", {}, static_cast<double>(this->coordination_.long_holds()));
    metrics.set("log_lines_dropped", {}, static_cast<double>(dropped_log_lines()));
    return metrics.text();
}

void gateway_process::reload_settings()
{
    try {
        const auto settings = this->adapter_.reload_settings();
        // Addresses and names are fixed for the lifetime of the process; they belong to the
        // machine.
        this->settings_.retry_budget = settings.retry_budget;
        this->settings_.grace_period = settings.grace_period;
        this->gateway_.set_retry_budget(settings.retry_budget);
        if (this->peer_exchange_) {
            this->peer_exchange_->add_addresses(settings.seeds);
        }
        this->reload_retries_left_ = 0;
        this->log_.note(log_level::info, "settings reloaded", {});
    }
    catch (const error& e) {
        if (this->reload_retries_left_ == max_reload_retries || this->reload_retries_left_ == 0) {
            this->log_.note(
                log_level::error, "settings cannot be reloaded, the old ones stay",
                {{"reason", e.what()},
                 {"remedy", e.remedy()},
                 {"retries_left", static_cast<std::int64_t>(this->reload_retries_left_)}});
        }
        if (this->reload_retries_left_ > 0) {
            this->context_.after(reload_retry_interval, [this] {
                --this->reload_retries_left_;
                this->reload_settings();
            });
        }
    }
}

void gateway_process::drain()
{
    if (std::exchange(this->is_draining_, true)) {
        return;
    }
    this->log_.note(log_level::info, "drain",
                    {{"open_requests", static_cast<std::int64_t>(this->gateway_.open_requests())}});
    if (!this->caller_server_ || !this->peer_exchange_) {
        this->context_.stop();
        return;
    }
    this->peer_exchange_->send_now();
    this->caller_server_->drain(transport::drain_mode::keep_accepting);
    const auto now = this->clock_.now();
    this->last_request_at_ = std::max(this->last_request_at_, now);
    this->context_.after(std::chrono::duration_cast<duration>(this->settings_.grace_period *
                                                              accepting_fraction_of_grace),
                         [this] { this->gateway_.refuse_new_requests(); });
    this->stop_when_idle(now + this->settings_.grace_period - kill_margin);
}

void gateway_process::stop_when_idle(time_point deadline)
{
    const auto now = this->clock_.now();
    // A request ends when its answer has been handed to the connection, which writes it as fast as
    // the caller reads.
    const auto unread_bytes = this->caller_server_->usage().reply_bytes;
    if (this->gateway_.open_requests() > 0 || unread_bytes > 0) {
        this->last_busy_at_ = now;
    }
    const bool idle = now - this->last_busy_at_ > flush_time &&
                      now - this->last_request_at_ > min_idle_time_before_stop;
    if (idle || now >= deadline) {
        this->log_.note(
            log_level::info, "stop",
            {{"open_requests", static_cast<std::int64_t>(this->gateway_.open_requests())},
             {"unread_bytes", static_cast<std::int64_t>(unread_bytes)}});
        this->context_.stop();
        return;
    }
    this->context_.after(tick_interval, [this, deadline] { this->stop_when_idle(deadline); });
}

} // namespace medlaryoke::gateway
