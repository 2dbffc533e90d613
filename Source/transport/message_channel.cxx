#include "transport/message_channel.h"

#include "transport/asio_prelude.h"

#include <deque>
#include <mutex>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <fmt/format.h>
#include <zmq.hpp>

#include "base/error.h"
#include "base/logging.h"
#include "transport/runtime_implementation.h"

namespace medlaryoke::transport {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using strand_type = asio::strand<asio::io_context::executor_type>;

constexpr int max_sockets = 8192;
// Frames received in a row before the strand lets other handlers of the thread run.
constexpr unsigned max_frames_per_batch = 256;
// ZeroMQ closes the connection on larger messages. Those between max_frame_bytes and this limit get
// a protocol_error reply.
constexpr auto max_message_bytes = static_cast<std::int64_t>(2U * max_frame_bytes);
// Bounds the memory used for a receiver that does not read.
constexpr std::size_t max_queued_bytes = 64U * 1024U * 1024U;
// A ROUTER socket drops a connection, with the messages queued for it, if it does not answer pings
// for ping_timeout_ms.
constexpr int ping_interval_ms = 1000;
constexpr int ping_timeout_ms = 10000;

const logger& channel_log()
{
    static const logger log("peer");
    return log;
}

/// @return the ZeroMQ context of a runtime, created on first use
zmq::context_t& zmq_context(runtime& context)
{
    auto& owner = context.impl();
    const std::scoped_lock lock(owner.mutex);
    if (!owner.zmq_context) {
        auto created = std::make_shared<zmq::context_t>(1);
        created->set(zmq::ctxopt::max_sockets, max_sockets);
        owner.zmq_context = std::move(created);
    }
    return *static_cast<zmq::context_t*>(owner.zmq_context.get());
}

/// A ZeroMQ socket whose file descriptor Asio waits for. Used on one strand.
class polled_socket {
public:
    polled_socket(zmq::context_t& context, zmq::socket_type type, const strand_type& strand)
        : socket_(context, type), strand_(strand)
    {
        this->socket_.set(zmq::sockopt::linger, 0);
        this->socket_.set(zmq::sockopt::sndhwm, 0);
        this->socket_.set(zmq::sockopt::rcvhwm, 0);
        this->socket_.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    }
    polled_socket(const polled_socket&) = delete;
    polled_socket& operator=(const polled_socket&) = delete;
    polled_socket(polled_socket&&) = delete;
    polled_socket& operator=(polled_socket&&) = delete;
    ~polled_socket()
    {
        if (this->descriptor_) {
            this->descriptor_->release(); // the descriptor belongs to ZeroMQ
        }
    }

    [[nodiscard]] zmq::socket_t& socket() { return this->socket_; }

    /// Registers the descriptor with Asio. Must be called after the socket is bound or connected.
    void open()
    {
        this->descriptor_ = std::make_unique<asio::posix::stream_descriptor>(
            this->strand_, this->socket_.get(zmq::sockopt::fd));
    }

    template <typename Function>
    void wait(Function fn)
    {
        this->descriptor_->async_wait(asio::posix::descriptor_base::wait_read, std::move(fn));
    }

    void cancel()
    {
        error_code ec;
        this->descriptor_->cancel(ec);
    }

private:
    zmq::socket_t socket_;
    strand_type strand_;
    std::unique_ptr<asio::posix::stream_descriptor> descriptor_;
};

std::string to_string(const zmq::message_t& part)
{
    return {static_cast<const char*>(part.data()), part.size()};
}

wire::frame make_protocol_error(const error& failure)
{
    wire::frame frame;
    auto* body = frame.mutable_protocol_error();
    body->set_message(failure.what());
    body->set_remedy(failure.remedy());
    body->set_supported_version(wire_protocol_version);
    return frame;
}

struct outgoing_frame {
    connection_id connection; ///< empty at a client
    std::string bytes;
};

/// Frames that wait to be sent on the strand of a socket. Thread safe. Each connection has a
/// generation number, so that a frame is sent only on the connection for which it was queued.
class outgoing_queue {
public:
    /// Result of push(); after `wake_up` the caller must schedule the strand to send the frames.
    enum class push_result { refused, queued, wake_up };

    push_result push(outgoing_frame frame)
    {
        const std::scoped_lock lock(this->mutex_);
        if (this->closed_ || this->bytes_ + frame.bytes.size() > max_queued_bytes) {
            return push_result::refused;
        }
        this->bytes_ += frame.bytes.size();
        this->frames_.push_back(std::move(frame));
        return std::exchange(this->strand_notified_, true) ? push_result::queued
                                                           : push_result::wake_up;
    }

    /// Removes and returns all frames of a generation. The next push returns wake_up.
    std::deque<outgoing_frame> take(std::uint64_t generation)
    {
        const std::scoped_lock lock(this->mutex_);
        if (generation != this->generation_) {
            return {};
        }
        this->strand_notified_ = false;
        this->bytes_ = 0;
        return std::exchange(this->frames_, {});
    }

    /// Drops all frames and accepts frames for the next connection.
    /// @return the generation of the next connection
    std::uint64_t restart()
    {
        const std::scoped_lock lock(this->mutex_);
        this->drop_locked();
        this->closed_ = false;
        return ++this->generation_;
    }

    /// Drops all frames and refuses further ones until restart(), unless a later generation has
    /// started.
    void close(std::uint64_t generation)
    {
        const std::scoped_lock lock(this->mutex_);
        if (generation == this->generation_) {
            this->drop_locked();
            this->closed_ = true;
        }
    }

    [[nodiscard]] std::uint64_t generation()
    {
        const std::scoped_lock lock(this->mutex_);
        return this->generation_;
    }

private:
    void drop_locked()
    {
        this->bytes_ = 0;
        this->frames_.clear();
    }

    std::mutex mutex_;
    std::deque<outgoing_frame> frames_;
    std::uint64_t generation_ = 0;
    std::size_t bytes_ = 0;
    bool strand_notified_ = false;
    bool closed_ = false;
};

} // namespace

class message_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, const std::string& address, message_server_events events)
        : strand_(asio::make_strand(context.impl().context)), events_(std::move(events)),
          socket_(std::make_unique<polled_socket>(zmq_context(context), zmq::socket_type::router,
                                                  this->strand_))
    {
        auto& target = this->socket_->socket();
        target.set(zmq::sockopt::heartbeat_ivl, ping_interval_ms);
        target.set(zmq::sockopt::heartbeat_timeout, ping_timeout_ms);
        target.set(zmq::sockopt::ipv6, address.starts_with('['));
        try {
            const bool any_port = address.ends_with(":0");
            target.bind("tcp://" +
                        (any_port ? address.substr(0, address.size() - 1) + "*" : address));
            constexpr std::size_t scheme_length = 6;
            this->address_ = target.get(zmq::sockopt::last_endpoint).substr(scheme_length);
        }
        catch (const zmq::error_t& e) {
            throw error(error_kind::unavailable,
                        fmt::format("cannot listen on {}: {}", address, e.what()),
                        "Choose an address of this instance that is not in use.");
        }
        this->socket_->open();
    }

    void start()
    {
        asio::post(this->strand_, [self = this->shared_from_this()] { self->process(); });
    }

    void send(const connection_id& connection, wire::frame frame)
    {
        const auto result = this->outgoing_.push({connection, encode_frame(std::move(frame))});
        if (result == outgoing_queue::push_result::wake_up) {
            this->start();
        }
    }

    void close()
    {
        this->outgoing_.close(this->outgoing_.generation());
        asio::post(this->strand_, [self = this->shared_from_this()] {
            if (self->socket_) {
                self->socket_->cancel();
            }
            self->socket_.reset();
        });
    }

    [[nodiscard]] const std::string& address() const { return this->address_; }

private:
    void process()
    {
        if (!this->socket_) {
            return;
        }
        try {
            this->send_queued();
            // The descriptor is edge-triggered and a send may consume its event, so receive last.
            if (this->receive_batch()) {
                this->start();
                return;
            }
        }
        catch (const zmq::error_t& e) {
            channel_log().error("Message socket on {} failed: {}.", this->address_, e.what());
        }
        this->wait();
    }

    void wait()
    {
        if (!this->socket_ || std::exchange(this->awaiting_readable_, true)) {
            return;
        }
        this->socket_->wait([self = this->shared_from_this()](const error_code&) {
            self->awaiting_readable_ = false;
            self->process();
        });
    }

    void send_queued()
    {
        for (auto& item : this->outgoing_.take(0)) {
            auto& target = this->socket_->socket();
            const auto sent = target.send(zmq::buffer(item.connection),
                                          zmq::send_flags::sndmore | zmq::send_flags::dontwait);
            if (sent) {
                target.send(zmq::buffer(item.bytes), zmq::send_flags::dontwait);
            }
        }
    }

    /// @return whether more messages may be available
    bool receive_batch()
    {
        for (unsigned n = 0; n < max_frames_per_batch; ++n) {
            if (!this->socket_) {
                return false;
            }
            auto& source = this->socket_->socket();
            zmq::message_t id;
            if (!source.recv(id, zmq::recv_flags::dontwait)) {
                return false;
            }
            zmq::message_t payload;
            bool more = id.more();
            unsigned parts = 0;
            while (more) {
                zmq::message_t part;
                static_cast<void>(source.recv(part, zmq::recv_flags::dontwait));
                more = part.more();
                if (parts++ == 0) {
                    payload = std::move(part);
                }
            }
            this->on_message(to_string(id), payload, parts);
        }
        return true;
    }

    void on_message(const connection_id& connection, const zmq::message_t& payload, unsigned parts)
    {
        try {
            if (parts != 1) {
                throw error(error_kind::invalid_argument,
                            fmt::format("message of {} parts instead of one", parts),
                            "Check that the sender is a medlaryoke process.");
            }
            auto frame = decode_frame({static_cast<const char*>(payload.data()), payload.size()});
            if (this->events_.on_frame) {
                this->deliver(connection, std::move(frame));
            }
        }
        catch (const error& e) {
            channel_log().warning("Rejected a frame received on {}: {}.", this->address_, e.what());
            this->send(connection, make_protocol_error(e));
        }
    }

    void deliver(const connection_id& connection, wire::frame frame)
    {
        try {
            this->events_.on_frame(connection, std::move(frame));
        }
        catch (const std::exception& e) {
            channel_log().error("The callback for a frame received on {} failed: {}.",
                                this->address_, e.what());
        }
    }

    strand_type strand_;
    message_server_events events_;
    std::unique_ptr<polled_socket> socket_;
    std::string address_;
    outgoing_queue outgoing_;
    bool awaiting_readable_ = false;
};

message_server::message_server(runtime& context, const std::string& address,
                               message_server_events events)
    : impl_(std::make_shared<implementation>(context, address, std::move(events)))
{
    this->impl_->start();
}

message_server::~message_server()
{
    this->impl_->close();
}

std::string message_server::address() const
{
    return this->impl_->address();
}

void message_server::send(const connection_id& connection, wire::frame frame)
{
    this->impl_->send(connection, std::move(frame));
}

class message_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(runtime& context, message_client_options options, message_client_events events)
        : context_(zmq_context(context)), strand_(asio::make_strand(context.impl().context)),
          options_(std::move(options)), events_(std::move(events)), silence_timer_(this->strand_)
    {
    }

    void start()
    {
        asio::post(this->strand_, [self = this->shared_from_this()] {
            self->open();
            self->start_silence_timer();
        });
    }

    bool send(wire::frame frame)
    {
        const auto result = this->outgoing_.push({{}, encode_frame(std::move(frame))});
        if (result == outgoing_queue::push_result::wake_up) {
            asio::post(this->strand_, [self = this->shared_from_this()] { self->process(); });
        }
        return result != outgoing_queue::push_result::refused;
    }

    void reconnect()
    {
        const auto generation = this->outgoing_.restart();
        asio::post(this->strand_,
                   [self = this->shared_from_this(), generation] { self->reopen(generation); });
    }

    void close()
    {
        this->outgoing_.close(this->outgoing_.generation());
        asio::post(this->strand_, [self = this->shared_from_this()] {
            self->closed_ = true;
            self->silence_timer_.cancel();
            self->drop_socket();
        });
    }

private:
    void drop_socket()
    {
        if (this->socket_) {
            this->socket_->cancel();
        }
        this->socket_.reset();
    }

    void open()
    {
        this->last_received_at_ = std::chrono::steady_clock::now();
        if (this->closed_) {
            return;
        }
        try {
            auto created = std::make_unique<polled_socket>(this->context_, zmq::socket_type::dealer,
                                                           this->strand_);
            // Reconnecting is disabled, because ZeroMQ would send frames queued for a lost
            // connection on the next one.
            created->socket().set(zmq::sockopt::reconnect_ivl, -1);
            created->socket().set(zmq::sockopt::ipv6, this->options_.address.starts_with('['));
            created->socket().connect("tcp://" + this->options_.address);
            created->open();
            this->socket_ = std::move(created);
        }
        catch (const zmq::error_t& e) {
            channel_log().error("Cannot connect to {}: {}.", this->options_.address, e.what());
        }
        this->process();
    }

    void reopen(std::uint64_t generation)
    {
        if (generation <= this->generation_) {
            return; // a later reconnect() has already opened its connection
        }
        this->generation_ = generation;
        this->drop_socket();
        this->open();
    }

    void process()
    {
        if (!this->socket_) {
            return;
        }
        try {
            this->send_queued();
            // The descriptor is edge-triggered and a send may consume its event, so receive last.
            if (this->receive_batch()) {
                asio::post(this->strand_, [self = this->shared_from_this()] { self->process(); });
                return;
            }
        }
        catch (const zmq::error_t& e) {
            channel_log().error("Connection to {} failed: {}.", this->options_.address, e.what());
        }
        this->wait();
    }

    void wait()
    {
        if (!this->socket_ || this->awaited_socket_ == this->socket_.get()) {
            return;
        }
        this->awaited_socket_ = this->socket_.get();
        this->socket_->wait(
            [self = this->shared_from_this(), target = this->socket_.get()](const error_code&) {
                if (self->awaited_socket_ == target) {
                    self->awaited_socket_ = nullptr;
                    self->process();
                }
            });
    }

    void send_queued()
    {
        for (auto& item : this->outgoing_.take(this->generation_)) {
            if (!this->socket_->socket().send(zmq::buffer(item.bytes), zmq::send_flags::dontwait)) {
                // The connection is lost; frames are refused until the next one is opened.
                this->outgoing_.close(this->generation_);
                return;
            }
        }
    }

    /// @return whether more messages may be available
    bool receive_batch()
    {
        for (unsigned n = 0; n < max_frames_per_batch; ++n) {
            zmq::message_t payload;
            if (!this->socket_ ||
                !this->socket_->socket().recv(payload, zmq::recv_flags::dontwait)) {
                return false;
            }
            this->last_received_at_ = std::chrono::steady_clock::now();
            this->on_message(payload);
        }
        return true;
    }

    void on_message(const zmq::message_t& payload)
    {
        try {
            auto frame = decode_frame({static_cast<const char*>(payload.data()), payload.size()});
            if (this->events_.on_frame) {
                this->events_.on_frame(std::move(frame));
            }
        }
        catch (const std::exception& e) {
            channel_log().warning("Dropped a frame from {}: {}.", this->options_.address, e.what());
        }
    }

    void start_silence_timer()
    {
        if (this->closed_) {
            return;
        }
        this->silence_timer_.expires_at(this->last_received_at_ + this->options_.silence_limit);
        this->silence_timer_.async_wait([self = this->shared_from_this()](const error_code& ec) {
            if (!ec) {
                self->check_silence();
            }
        });
    }

    void check_silence()
    {
        // If this process was paused, frames that arrived meanwhile are still unread.
        this->process();
        const time_point now = std::chrono::steady_clock::now();
        if (!this->closed_ && now >= this->last_received_at_ + this->options_.silence_limit) {
            this->last_received_at_ = now;
            if (this->events_.on_silent) {
                try {
                    this->events_.on_silent();
                }
                catch (const std::exception& e) {
                    channel_log().error("The callback for silence of {} failed: {}.",
                                        this->options_.address, e.what());
                }
            }
        }
        this->start_silence_timer();
    }

    zmq::context_t& context_;
    strand_type strand_;
    message_client_options options_;
    message_client_events events_;
    asio::steady_timer silence_timer_;
    std::unique_ptr<polled_socket> socket_;
    const polled_socket* awaited_socket_ = nullptr;
    time_point last_received_at_{};
    bool closed_ = false;
    outgoing_queue outgoing_;
    std::uint64_t generation_ = 0;
};

message_client::message_client(runtime& context, message_client_options options,
                               message_client_events events)
    : impl_(std::make_shared<implementation>(context, std::move(options), std::move(events)))
{
    this->impl_->start();
}

message_client::~message_client()
{
    this->impl_->close();
}

bool message_client::send(wire::frame frame)
{
    return this->impl_->send(std::move(frame));
}

void message_client::reconnect()
{
    this->impl_->reconnect();
}

} // namespace medlaryoke::transport
