#include "gateway/gateway_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "base/error.h"
#include "transport/error_response.h"

namespace medlaryoke::gateway {

namespace {

// Deadlines and waits are checked this often; the price of a late check is at most this.
constexpr auto tick_interval = std::chrono::milliseconds(20);

// How often the gateways' own topic is read again, for gateways that no seed knows.
constexpr auto gateways_interval = std::chrono::seconds(15);
constexpr auto announce_retry = std::chrono::seconds(1);

// A peer that has read further for so long means that the own read is stuck; a read that is merely
// slower ends within some ten milliseconds.
constexpr auto peer_ahead_limit = std::chrono::milliseconds(400);

constexpr auto config_fetch_timeout = std::chrono::milliseconds(800);

// Part of the grace after which a draining process ends in any case, before it is killed.
constexpr auto kill_margin = std::chrono::milliseconds(400);

// Part of the grace after which a draining process takes no further requests: the longest streams
// take the rest of it.
constexpr double open_part_of_grace = 0.36;

// A draining process without open requests stays for callers that still hold its address: answers
// of a directory are kept for a few seconds.
constexpr auto quiet_before_end = std::chrono::milliseconds(1500);

// Time for the last bytes of an answer to leave.
constexpr auto flush_time = std::chrono::milliseconds(200);

// A gateway that has just started hears the others first, before it takes itself for the only one.
constexpr auto first_election = std::chrono::milliseconds(1500);

// A gateway that hears few others coordinates only after this time: longer than most cuts, and the
// first gateway on the other side goes on meanwhile.
constexpr auto lone_election = std::chrono::seconds(8);

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
    return {adapter.protocol, settings.data_centre, settings.budget, random_number()};
}

} // namespace

gateway_process::gateway_process(gateway_settings settings, deployment adapter)
    : settings_(std::move(settings)), adapter_(std::move(adapter)), config_(adapter_.decode_config),
      gateway_(context_, clock_, make_gateway_options(settings_, adapter_), config_),
      registry_(settings_.upstream_return),
      coordination_(
          context_, clock_,
          [this](const std::string& group, std::function<void(std::optional<std::uint64_t>)> done) {
              this->store_->put(this->adapter_.coordinators_topic, group, this->settings_.instance,
                                [done = std::move(done)](std::optional<std::uint64_t> offset) {
                                    done(offset ? std::optional(*offset + 1) : std::nullopt);
                                });
          },
          [this](const std::string& address) {
              return this->adapter_.open_engine(this->context_, address);
          })
{
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
    this->context_.on_reload_signal([this] { this->reload(); });
    this->context_.post([this] { this->start(); });
    this->context_.start();
    this->context_.wait();
    this->log_.note(log_level::info, "stop", {});
}

void gateway_process::start()
{
    this->started_ = this->clock_.now();
    try {
        this->open_listeners();
        this->follow_store();
    }
    catch (const error& e) {
        this->log_.note(log_level::error, "cannot start",
                        {{"reason", e.what()}, {"remedy", e.remedy()}});
        this->context_.stop();
    }
}

void gateway_process::serve(
    std::unique_ptr<transport::http_server>& server, const std::string& address,
    std::function<transport::http_response(const transport::http_request&)> answer)
{
    if (address.empty()) {
        return;
    }
    transport::http_server_options options;
    options.address = address;
    server = std::make_unique<transport::http_server>(
        this->context_, options,
        [answer = std::move(answer)](const transport::http_request& request,
                                     const std::shared_ptr<transport::response_stream>& response) {
            response->respond(answer(request));
        });
}

void gateway_process::open_listeners()
{
    this->serve(this->readiness_server_, this->settings_.readiness_address, [this](const auto&) {
        return this->is_ready() ? text_response(200, "ready\n") : text_response(503, "not ready\n");
    });
    this->serve(this->directory_server_, this->settings_.directory_address,
                [this](const auto& request) {
                    return this->adapter_.answer_directory(request, this->directory());
                });
    this->serve(this->control_server_, this->settings_.control_address,
                [this](const auto& request) { return this->answer_control(request); });
    this->serve(this->metrics_server_, this->settings_.metrics_address,
                [this](const auto&) { return text_response(200, this->metrics_text()); });
    transport::http_server_options options;
    options.address = this->settings_.caller_address;
    this->caller_server_ = std::make_unique<transport::http_server>(
        this->context_, options,
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::response_stream>& response) {
            this->last_request_ = this->clock_.now();
            this->gateway_.handle(request, response);
        });
    policy::peer_beat own;
    own.instance = this->settings_.instance;
    own.incarnation = random_number();
    own.beat_address = this->settings_.beat_address;
    own.control_address = this->settings_.control_address;
    own.caller_address = this->settings_.caller_address;
    own.data_centre = this->settings_.data_centre;
    this->peers_ = std::make_shared<peer_exchange>(
        this->context_, this->clock_, own, peer_options{},
        [this](policy::peer_beat& beat) {
            beat.serving = this->is_ready();
            beat.config_version = this->config_.version();
            beat.upstreams_position = this->upstream_feed_ ? this->upstream_feed_->position() : 0;
            beat.running = this->gateway_.running_by_upstream();
        },
        [this] { this->on_peers(); });
    this->peers_->add_addresses(this->settings_.seeds);
    this->peers_->start();
}

void gateway_process::follow_store()
{
    this->store_ = this->adapter_.open_store(this->context_);
    const auto follow = [this](const std::string& topic, auto on_changes, auto on_available) {
        follower_options options;
        options.topic = topic;
        auto follower = std::make_shared<topic_follower>(this->context_, *this->store_, options,
                                                         on_changes, on_available);
        follower->start();
        return follower;
    };
    this->config_feed_ = follow(
        this->adapter_.config_topic, [this](const auto& it) { this->on_config_changes(it); },
        [](bool) {});
    this->upstream_feed_ = follow(
        this->adapter_.upstreams_topic, [this](const auto& it) { this->on_upstream_changes(it); },
        [this](bool available) { this->registry_.on_store(available, this->clock_.now()); });
    this->announce();
    this->read_gateways();
    this->tick();
}

void gateway_process::announce()
{
    this->store_->put(this->adapter_.gateways_topic, this->settings_.instance,
                      this->settings_.beat_address, [this](std::optional<std::uint64_t> offset) {
                          if (!offset && !this->draining_) {
                              this->context_.after(announce_retry, [this] { this->announce(); });
                          }
                      });
}

void gateway_process::read_gateways()
{
    this->store_->list(this->adapter_.gateways_topic, [this](const keyed_result& result) {
        if (const auto* page = std::get_if<keyed_records>(&result)) {
            std::vector<std::string> addresses;
            addresses.reserve(page->records.size());
            for (const auto& record : page->records) {
                addresses.push_back(record.value);
            }
            this->peers_->add_addresses(addresses);
        }
        this->context_.after(gateways_interval, [this] { this->read_gateways(); });
    });
}

void gateway_process::on_config_changes(const std::vector<policy::keyed_record>& changes)
{
    for (const auto& change : changes) {
        if (change.key == this->adapter_.config_key && !change.value.empty()) {
            this->apply_config(change.value, "store");
        }
    }
}

void gateway_process::apply_config(const std::string& record, std::string_view source)
{
    const bool was_ready = this->is_ready();
    if (!this->config_.apply(record, source)) {
        return;
    }
    const auto& limits = this->config_.active().config->limits;
    transport::http_server_options options;
    options.max_header_bytes = limits.max_header_bytes;
    options.max_body_bytes = limits.max_body_bytes;
    options.header_timeout = limits.header_timeout;
    options.idle_timeout = limits.idle_timeout;
    this->caller_server_->set_limits(options);
    this->gateway_.apply_config();
    this->update_upstreams();
    if (!was_ready && this->is_ready()) {
        this->log_.note(log_level::info, "ready", {});
        this->peers_->beat_now();
    }
}

void gateway_process::on_upstream_changes(const std::vector<policy::keyed_record>& changes)
{
    const auto now = this->clock_.now();
    for (const auto& change : changes) {
        const auto entry = change.value.empty()
                               ? std::nullopt
                               : this->adapter_.decode_upstream(change.key, change.value);
        if (entry) {
            this->registry_.on_entry(*entry);
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
                                                       : "ready"}});
    }
    this->update_upstreams();
}

void gateway_process::update_upstreams()
{
    const auto upstreams = this->registry_.upstreams();
    this->gateway_.set_upstreams(upstreams);
    if (this->config_.active().config) {
        this->coordination_.update(upstreams, *this->config_.active().config);
    }
}

void gateway_process::elect()
{
    // The first gateway by name that serves coordinates. If two take each other for dead, the
    // token of the later one ends the earlier one.
    const auto now = this->clock_.now();
    const auto alive = this->peers_->table().alive(now);
    const bool is_first =
        this->is_ready() && std::ranges::none_of(alive, [this](const policy::peer_beat* peer) {
            return peer->serving && peer->instance < this->settings_.instance;
        });
    // A gateway that hears fewer than half of the others is more likely cut off than left over.
    const bool is_cut_off = 2 * (alive.size() + 1) <= this->peers_->table().known();
    if (!is_first || !is_cut_off) {
        this->alone_since_.reset();
    }
    else if (!this->alone_since_) {
        this->alone_since_ = now;
    }
    const bool waits = this->alone_since_ && now - *this->alone_since_ < lone_election;
    this->coordination_.lead(is_first && !waits && now >= this->started_ + first_election, now);
}

void gateway_process::on_peers()
{
    const auto now = this->clock_.now();
    const auto alive = this->peers_->table().alive(now);
    this->gateway_.set_remote_load(this->peers_->table().running(now), alive.size() + 1);
    const auto newest = std::ranges::max_element(alive, {}, &policy::peer_beat::config_version);
    if (newest != alive.end() && (*newest)->config_version > this->config_.version()) {
        this->fetch_config((*newest)->control_address);
    }
    const auto furthest =
        std::ranges::max_element(alive, {}, &policy::peer_beat::upstreams_position);
    if (furthest == alive.end() || !this->upstream_feed_ ||
        (*furthest)->upstreams_position <= this->upstream_feed_->position()) {
        this->peer_ahead_since_.reset();
    }
    else if (!this->peer_ahead_since_) {
        this->peer_ahead_since_ = now;
    }
    else if (now - *this->peer_ahead_since_ > peer_ahead_limit) {
        this->peer_ahead_since_ = now;
        this->upstream_feed_->catch_up((*furthest)->upstreams_position);
    }
}

void gateway_process::fetch_config(const std::string& control_address)
{
    if (std::exchange(this->fetching_config_, true)) {
        return;
    }
    this->config_client_ =
        std::make_unique<transport::http_client>(this->context_, control_address);
    this->config_client_->fetch(
        {"GET", "/config", {}, {}},
        {config_fetch_timeout, config_fetch_timeout, config_fetch_timeout, config_fetch_timeout},
        [this, control_address](const auto& result) {
            this->fetching_config_ = false;
            if (const auto* reply = std::get_if<transport::http_response>(&result);
                reply != nullptr && reply->head.status == 200) {
                this->apply_config(reply->body, "peer " + control_address);
            }
        });
}

void gateway_process::tick()
{
    if (this->registry_.expire(this->clock_.now())) {
        this->update_upstreams();
    }
    this->gateway_.tick();
    this->elect();
    this->context_.after(tick_interval, [this] { this->tick(); });
}

bool gateway_process::is_ready() const
{
    return !this->draining_ && this->config_.version() > 0 && this->upstream_feed_ &&
           this->upstream_feed_->is_complete();
}

std::vector<directory_entry> gateway_process::directory() const
{
    std::vector<directory_entry> entries;
    if (this->is_ready()) {
        entries.push_back({this->settings_.caller_address, this->settings_.data_centre});
    }
    for (const auto* peer : this->peers_->table().alive(this->clock_.now())) {
        if (peer->serving) {
            entries.push_back({peer->caller_address, peer->data_centre});
        }
    }
    return entries;
}

transport::http_response gateway_process::answer_control(const transport::http_request& request)
{
    if (request.target == "/config" && this->config_.version() > 0) {
        return text_response(200, this->config_.record());
    }
    return transport::make_error_response(
        error(error_kind::not_found, "nothing at " + request.target, "Ask for /config."));
}

std::string gateway_process::metrics_text()
{
    auto& metrics = this->gateway_.metrics();
    metrics.set("open_requests", {}, static_cast<double>(this->gateway_.open_requests()));
    metrics.set("config_version", {}, static_cast<double>(this->config_.version()));
    metrics.set("ready", {}, this->is_ready() ? 1 : 0);
    metrics.set("peers_alive", {},
                static_cast<double>(this->peers_->table().alive(this->clock_.now()).size()));
    metrics.set("map_switches", {}, static_cast<double>(this->coordination_.switches()));
    metrics.set("log_lines_dropped", {}, static_cast<double>(dropped_log_lines()));
    return metrics.text();
}

void gateway_process::reload()
{
    try {
        const auto settings = this->adapter_.reload_settings();
        // Addresses and names stay as they were at the start; they belong to the machine.
        this->settings_.budget = settings.budget;
        this->settings_.grace = settings.grace;
        this->gateway_.set_retry_budget(settings.budget);
        if (this->peers_) {
            this->peers_->add_addresses(settings.seeds);
        }
        this->log_.note(log_level::info, "settings reloaded", {});
    }
    catch (const error& e) {
        this->log_.note(log_level::error, "settings cannot be reloaded, the old ones stay",
                        {{"reason", e.what()}, {"remedy", e.remedy()}});
    }
}

void gateway_process::drain()
{
    if (std::exchange(this->draining_, true)) {
        return;
    }
    this->log_.note(log_level::info, "drain",
                    {{"open_requests", static_cast<std::int64_t>(this->gateway_.open_requests())}});
    if (!this->caller_server_ || !this->peers_) {
        this->context_.stop();
        return;
    }
    this->peers_->beat_now();
    this->caller_server_->drain(transport::drain_mode::serve_late);
    const auto now = this->clock_.now();
    this->last_request_ = std::max(this->last_request_, now);
    this->context_.after(
        std::chrono::duration_cast<duration>(this->settings_.grace * open_part_of_grace),
        [this] { this->gateway_.refuse_new_requests(); });
    this->end_when_idle(now + this->settings_.grace - kill_margin);
}

void gateway_process::end_when_idle(time_point last)
{
    const auto now = this->clock_.now();
    if (this->gateway_.open_requests() > 0) {
        this->last_busy_ = now;
    }
    const bool idle =
        now - this->last_busy_ > flush_time && now - this->last_request_ > quiet_before_end;
    if (idle || now >= last) {
        this->context_.stop();
        return;
    }
    this->context_.after(tick_interval, [this, last] { this->end_when_idle(last); });
}

} // namespace medlaryoke::gateway
