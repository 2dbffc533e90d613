#include "controllers/peer_network.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "base/digest.h"
#include "base/logging.h"
#include "transport/message_channel.h"

namespace medlaryoke::controllers {

namespace {

/// The connection to an entry whose state this entry watches.
struct watched_peer {
    std::unique_ptr<transport::message_client> client;
};

} // namespace

class peer_network::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(transport::runtime& context, const clock_source& clock,
                   peer_network_options options, peer_directory& directory,
                   peer_network_events events)
        : context_(context), clock_(clock), options_(std::move(options)), directory_(directory),
          events_(std::move(events))
    {
    }

    void start()
    {
        transport::message_server_events events;
        events.on_frame = [weak = this->weak_from_this()](const transport::connection_id& from,
                                                          const wire::frame& frame) {
            if (const auto self = weak.lock()) {
                self->on_server_frame(from, frame);
            }
        };
        this->server_ = std::make_unique<transport::message_server>(
            this->context_, this->options_.address, std::move(events));
        this->set_listed_peers({});
        this->announce_and_reschedule();
    }

    void close()
    {
        std::map<std::string, std::shared_ptr<watched_peer>> watched;
        {
            const std::scoped_lock lock(this->mutex_);
            this->closed_ = true;
            watched.swap(this->watched_);
        }
        this->server_.reset();
    }

    std::string address() const { return this->server_->address(); }

    void set_listed_peers(const std::vector<std::string>& addresses)
    {
        std::set<std::string> known(this->options_.peers.begin(), this->options_.peers.end());
        known.insert(addresses.begin(), addresses.end());
        known.erase(this->options_.address);
        known.erase(this->server_->address());
        const auto wanted = this->choose_watched_peers({known.begin(), known.end()});
        std::vector<std::shared_ptr<watched_peer>> removed;
        const std::scoped_lock lock(this->mutex_);
        if (this->closed_) {
            return;
        }
        std::erase_if(this->watched_, [&](const auto& entry) {
            const bool is_unused = !wanted.contains(entry.first);
            if (is_unused) {
                removed.push_back(entry.second);
            }
            return is_unused;
        });
        for (const auto& address : wanted) {
            if (!this->watched_.contains(address)) {
                this->watched_.emplace(address, this->connect(address));
            }
        }
    }

    void announce()
    {
        const auto frame = this->make_report();
        const auto now = this->clock_.now();
        std::vector<std::shared_ptr<watched_peer>> watched;
        std::vector<transport::connection_id> watchers;
        {
            const std::scoped_lock lock(this->mutex_);
            for (const auto& [address, peer] : this->watched_) {
                watched.push_back(peer);
            }
            for (const auto& [connection, last_message_at] : this->watchers_) {
                watchers.push_back(connection);
            }
            std::erase_if(this->watchers_, [now](const auto& entry) {
                return now - entry.second > peer_silence_limit;
            });
        }
        for (const auto& it : watched) {
            it->client->send(frame);
        }
        for (const auto& it : watchers) {
            this->server_->send(it, frame);
        }
    }

private:
    std::set<std::string> choose_watched_peers(std::vector<std::string> addresses) const
    {
        const auto seed = hash64(this->server_->address());
        std::ranges::sort(addresses, std::ranges::greater{},
                          [seed](const std::string& it) { return hash64(it, seed); });
        addresses.resize(std::min<std::size_t>(addresses.size(), this->options_.watched_peers));
        return {addresses.begin(), addresses.end()};
    }

    std::shared_ptr<watched_peer> connect(const std::string& address)
    {
        auto peer = std::make_shared<watched_peer>();
        transport::message_client_events events;
        events.on_frame = [weak = this->weak_from_this(),
                           weak_peer = std::weak_ptr(peer)](const wire::frame& frame) {
            const auto self = weak.lock();
            const auto from = weak_peer.lock();
            if (self == nullptr || from == nullptr) {
                return;
            }
            if (auto answer = self->on_frame(frame)) {
                from->client->send(std::move(*answer));
            }
        };
        events.on_silent = [weak_peer = std::weak_ptr(peer)] {
            if (const auto silent = weak_peer.lock()) {
                silent->client->reconnect();
            }
        };
        peer->client = std::make_unique<transport::message_client>(
            this->context_, transport::message_client_options{address, peer_silence_limit},
            std::move(events));
        return peer;
    }

    /// Handles a frame of a peer.
    /// @return the answer, if any
    std::optional<wire::frame> on_frame(const wire::frame& frame)
    {
        if (frame.has_peer_state()) {
            this->directory_.on_state(frame.peer_state(), this->clock_.now());
        }
        else if (frame.has_protocol_error()) {
            this->log_.warning("A peer rejected a message: {} {}", frame.protocol_error().message(),
                               frame.protocol_error().remedy());
        }
        return this->events_.on_config_frame(frame);
    }

    void on_server_frame(const transport::connection_id& from, const wire::frame& frame)
    {
        auto answer = this->on_frame(frame);
        bool is_new = false;
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->closed_) {
                return;
            }
            is_new = this->watchers_.insert_or_assign(from, this->clock_.now()).second;
        }
        if (answer) {
            this->server_->send(from, std::move(*answer));
        }
        if (is_new) {
            this->server_->send(from, this->make_report());
        }
    }

    wire::frame make_report() const
    {
        wire::frame frame;
        *frame.mutable_peer_state() = this->events_.own_state();
        return frame;
    }

    void announce_and_reschedule()
    {
        {
            const std::scoped_lock lock(this->mutex_);
            if (this->closed_) {
                return;
            }
        }
        this->announce();
        this->context_.after(peer_report_interval, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->announce_and_reschedule();
            }
        });
    }

    transport::runtime& context_;
    const clock_source& clock_;
    peer_network_options options_;
    peer_directory& directory_;
    peer_network_events events_;
    logger log_{"peer"};
    std::unique_ptr<transport::message_server> server_;
    std::mutex mutex_;
    bool closed_ = false;
    std::map<std::string, std::shared_ptr<watched_peer>> watched_;
    std::map<transport::connection_id, time_point> watchers_; ///< time of the last message
};

peer_network::peer_network(transport::runtime& context, const clock_source& clock,
                           peer_network_options options, peer_directory& directory,
                           peer_network_events events)
    : impl_(std::make_shared<implementation>(context, clock, std::move(options), directory,
                                             std::move(events)))
{
    this->impl_->start();
}

peer_network::~peer_network()
{
    this->impl_->close();
}

std::string peer_network::address() const
{
    return this->impl_->address();
}

void peer_network::set_listed_peers(const std::vector<std::string>& addresses)
{
    this->impl_->set_listed_peers(addresses);
}

void peer_network::announce()
{
    this->impl_->announce();
}

} // namespace medlaryoke::controllers
