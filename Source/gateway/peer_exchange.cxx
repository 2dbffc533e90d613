#include "gateway/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/message_age.h"
#include "gateway/quarantine_codec.h"
#include "gateway/rate_limit_codec.h"
#include "model/wire.pb.h"
#include "transport/address_text.h"

namespace medlaryoke::gateway {

namespace {

// Bounds the list of addresses, because received datagrams add to it and may be corrupt.
constexpr std::size_t max_addresses = 1024;

// Characters of an address that cannot be read which are written to the log.
constexpr std::size_t max_logged_address = 40;

std::string encode(const policy::peer_heartbeat& heartbeat,
                   const std::vector<std::string>& live_addresses, time_point now)
{
    wire::gateway_beat message;
    message.set_instance(heartbeat.instance);
    message.set_incarnation(heartbeat.incarnation);
    message.set_number(heartbeat.number);
    message.set_beat_address(heartbeat.beat_address);
    message.set_control_address(heartbeat.control_address);
    message.set_caller_address(heartbeat.caller_address);
    message.set_data_centre(heartbeat.data_centre);
    message.set_serving(heartbeat.serving);
    message.set_config_version(heartbeat.config_version);
    message.set_store_epoch(heartbeat.upstreams_position.epoch);
    message.set_upstreams_position(heartbeat.upstreams_position.offset);
    for (const auto& [upstream, count] : heartbeat.running) {
        message.add_upstream(upstream);
        message.add_running(count);
    }
    for (const auto& address : live_addresses) {
        message.add_known_address(address);
    }
    if (heartbeat.quarantine) {
        write_report(*heartbeat.quarantine, message);
    }
    write_rate_limits(heartbeat, now, message);
    for (const auto upstream : heartbeat.leaving) {
        message.add_leaving(upstream);
    }
    if (heartbeat.store) {
        auto& store = *message.mutable_store();
        store.set_since_ago_ms(to_age_ms(heartbeat.store->answering_since, now));
        store.set_answered_ago_ms(to_age_ms(heartbeat.store->answered_at, now));
        store.set_had_failure(heartbeat.store->had_failure);
    }
    message.set_operator_epoch(heartbeat.operator_position.epoch);
    message.set_operator_position(heartbeat.operator_position.offset);
    for (const auto& data_centre : heartbeat.evacuated) {
        message.add_evacuated(data_centre);
    }
    return message.SerializeAsString();
}

/// @return whether the addresses of a peer can be used; the one for callers may be missing
bool has_usable_addresses(const policy::peer_heartbeat& heartbeat)
{
    return transport::is_address_and_port(heartbeat.beat_address) &&
           transport::is_address_and_port(heartbeat.control_address) &&
           (heartbeat.caller_address.empty() ||
            transport::is_address_and_port(heartbeat.caller_address));
}

policy::peer_heartbeat decode(const wire::gateway_beat& message, time_point now)
{
    policy::peer_heartbeat heartbeat;
    heartbeat.instance = message.instance();
    heartbeat.incarnation = message.incarnation();
    heartbeat.number = message.number();
    heartbeat.beat_address = message.beat_address();
    heartbeat.control_address = message.control_address();
    heartbeat.caller_address = message.caller_address();
    heartbeat.data_centre = message.data_centre();
    heartbeat.serving = message.serving();
    heartbeat.config_version = message.config_version();
    heartbeat.upstreams_position = {message.store_epoch(), message.upstreams_position()};
    const auto n = std::min(message.upstream_size(), message.running_size());
    for (int index = 0; index < n; ++index) {
        heartbeat.running[message.upstream(index)] = message.running(index);
    }
    if (message.crash_size() + message.answer_size() + message.quarantine_size() > 0) {
        heartbeat.quarantine = read_report(message);
    }
    heartbeat.live_addresses = {message.known_address().begin(), message.known_address().end()};
    read_rate_limits(message, now, heartbeat);
    heartbeat.leaving = {message.leaving().begin(), message.leaving().end()};
    if (message.has_store()) {
        heartbeat.store = policy::store_report{from_age_ms(message.store().since_ago_ms(), now),
                                               from_age_ms(message.store().answered_ago_ms(), now),
                                               message.store().had_failure()};
    }
    heartbeat.operator_position = {message.operator_epoch(), message.operator_position()};
    heartbeat.evacuated = {message.evacuated().begin(), message.evacuated().end()};
    return heartbeat;
}

} // namespace

peer_exchange::peer_exchange(transport::runtime& context, const clock_source& clock,
                             policy::peer_heartbeat own_heartbeat, peer_options options,
                             state_source fill_state, heartbeat_handler on_heartbeat)
    : context_(context), clock_(clock), own_heartbeat_(std::move(own_heartbeat)), options_(options),
      fill_state_(std::move(fill_state)), on_heartbeat_(std::move(on_heartbeat))
{
}

void peer_exchange::start()
{
    const std::weak_ptr<peer_exchange> weak = this->shared_from_this();
    this->socket_ = std::make_unique<transport::datagram_socket>(
        this->context_, this->own_heartbeat_.beat_address,
        [weak](std::string_view data) {
            if (const auto self = weak.lock()) {
                self->on_datagram(data);
            }
        },
        this->options_.bind_retry_interval);
    this->send_heartbeat();
    this->schedule_heartbeat();
}

void peer_exchange::add_addresses(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        // Each heartbeat names all peers again, so known addresses are not parsed.
        if (address == this->own_heartbeat_.beat_address || this->addresses_.contains(address)) {
            continue;
        }
        if (!transport::is_address_and_port(address)) {
            this->log_.sample(log_level::warning, "address of a peer cannot be read",
                              {{"address", address.substr(0, max_logged_address)}});
        }
        else if (this->addresses_.size() < max_addresses) {
            this->addresses_.insert(address);
        }
    }
    this->table_.set_listed(this->addresses_.size());
}

void peer_exchange::send_now()
{
    this->send_heartbeat();
}

void peer_exchange::on_datagram(std::string_view data)
{
    wire::gateway_beat message;
    if (!message.ParseFromArray(data.data(), static_cast<int>(data.size())) ||
        message.instance().empty() || message.instance() == this->own_heartbeat_.instance) {
        return;
    }
    const auto now = this->clock_.now();
    auto heartbeat = decode(message, now);
    if (!has_usable_addresses(heartbeat)) {
        this->log_.sample(log_level::warning, "heartbeat without usable addresses", {});
        return;
    }
    this->add_addresses({heartbeat.beat_address});
    this->add_addresses(heartbeat.live_addresses);
    if (!this->table_.is_new(heartbeat)) {
        heartbeat.permits.clear(); // a duplicate
    }
    const bool was_silent = this->table_.on_heartbeat(heartbeat, now);
    if (was_silent) {
        this->log_.note(log_level::info, "peer heard",
                        {{"peer", heartbeat.instance},
                         {"address", heartbeat.beat_address},
                         {"serving", heartbeat.serving},
                         {"config", static_cast<std::int64_t>(heartbeat.config_version)}});
    }
    this->on_heartbeat_(heartbeat, was_silent);
}

void peer_exchange::send_heartbeat()
{
    const auto now = this->clock_.now();
    this->table_.on_tick(now);
    ++this->own_heartbeat_.number;
    this->fill_state_(this->own_heartbeat_);
    std::vector<std::string> live_addresses;
    for (const auto* peer : this->table_.alive_peers(now)) {
        live_addresses.push_back(peer->beat_address);
    }
    const auto data = encode(this->own_heartbeat_, live_addresses, now);
    for (const auto& address : this->addresses_) {
        this->socket_->send(data, address);
    }
}

void peer_exchange::schedule_heartbeat()
{
    const auto interval =
        std::min(this->options_.base_interval +
                     this->options_.interval_per_peer * static_cast<int>(this->table_.known()),
                 this->options_.max_interval);
    this->context_.after(interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->schedule_heartbeat(); // first, so that a failure does not end the heartbeats
            self->send_heartbeat();
        }
    });
}

} // namespace medlaryoke::gateway
