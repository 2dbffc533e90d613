#include "gateway/peer_exchange.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "model/wire.pb.h"
#include "transport/datagram_socket.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

/// @return an address for datagrams that was free a moment ago
std::string free_address()
{
    transport::runtime context{1};
    const transport::datagram_socket socket(context, "127.0.0.1:0", [](std::string_view) {});
    return socket.address();
}

/// A peer exchange, and a peer whose datagrams the test writes.
struct exchange_with_peer {
    exchange_with_peer()
    {
        policy::peer_heartbeat own;
        own.instance = "gateway-1";
        own.beat_address = address;
        own.control_address = "127.0.0.1:1";
        exchange = std::make_shared<peer_exchange>(
            context, clock, own, peer_options{}, [](policy::peer_heartbeat&) {},
            [this](const policy::peer_heartbeat&, bool) { ++heard; });
        exchange->add_addresses({peer.address()});
        context.start();
        context.post([this] { exchange->start(); });
        this->wait_for_more(0);
    }
    exchange_with_peer(const exchange_with_peer&) = delete;
    exchange_with_peer& operator=(const exchange_with_peer&) = delete;
    exchange_with_peer(exchange_with_peer&&) = delete;
    exchange_with_peer& operator=(exchange_with_peer&&) = delete;
    ~exchange_with_peer() { context.stop(); }

    /// @return a valid heartbeat of the peer
    [[nodiscard]] wire::gateway_beat heartbeat()
    {
        wire::gateway_beat message;
        message.set_instance("gateway-2");
        message.set_incarnation(1);
        message.set_number(++this->number);
        message.set_beat_address(this->peer.address());
        message.set_control_address("127.0.0.1:2");
        message.set_caller_address("127.0.0.1:3");
        return message;
    }

    /// Sends a heartbeat and waits for the next two of the exchange.
    void expect_heartbeats_after(const wire::gateway_beat& message)
    {
        this->peer.send(message.SerializeAsString(), this->address);
        std::this_thread::sleep_for(50ms); // the datagram arrives
        this->wait_for_more(this->received + 1);
    }

    /// Waits up to 3 s for more heartbeats of the exchange.
    void wait_for_more(unsigned count)
    {
        for (int n = 0; n < 600 && this->received <= count; ++n) {
            std::this_thread::sleep_for(5ms);
        }
        cr_assert(this->received > count, "no heartbeat any more");
    }

    std::string address = free_address();
    system_clock_source clock;
    transport::runtime context{1};
    std::atomic<unsigned> received = 0;
    std::atomic<unsigned> heard = 0;
    std::uint64_t number = 0;
    transport::datagram_socket peer{context, "127.0.0.1:0",
                                    [this](std::string_view) { ++received; }};
    std::shared_ptr<peer_exchange> exchange;
};

} // namespace

// Guards against a gateway that sends no heartbeats any more, and so counts as dead, because one
// heartbeat of another process named an address that cannot be read.
Test(peer_exchange, goes_on_after_a_heartbeat_with_unreadable_addresses)
{
    exchange_with_peer it;
    auto message = it.heartbeat();
    message.add_known_address("");
    message.add_known_address("nowhere");
    message.add_known_address("1.2.3.4:99999");
    it.expect_heartbeats_after(message);
    cr_assert(it.heard == 1);
    auto unusable = it.heartbeat();
    unusable.set_control_address("x");
    it.expect_heartbeats_after(unusable);
    cr_assert(it.heard == 1 && it.exchange->table().known() == 1);
}

// Guards against the same for bytes of any kind.
Test(peer_exchange, goes_on_after_damaged_heartbeats)
{
    exchange_with_peer it;
    const auto valid = it.heartbeat().SerializeAsString();
    for (std::size_t n = 0; n < valid.size(); ++n) {
        auto damaged = valid;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x15);
        it.peer.send(damaged, it.address);
        it.peer.send(std::string_view(valid).substr(0, n), it.address);
    }
    it.expect_heartbeats_after(it.heartbeat());
}
