#include "transport/message_channel.h"

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <zmq.hpp>

#include "fakes/tcp_proxy.h"

using namespace medlaryoke;
using namespace medlaryoke::transport;
using medlaryoke::fakes::tcp_proxy;

namespace {

wire::frame make_chunk(std::uint32_t sequence)
{
    wire::frame frame;
    frame.mutable_chunk()->set_sequence(sequence);
    frame.mutable_chunk()->set_data(std::string(200, 'c'));
    return frame;
}

/// A server that sends every frame back to its sender.
struct echo_server {
    explicit echo_server(runtime& context)
        : server(context, "127.0.0.1:0",
                 {[this](const connection_id& connection, wire::frame frame) {
                     this->server.send(connection, std::move(frame));
                 }})
    {
    }

    message_server server;
};

} // namespace

// Guards against lost or reordered frames. Frames are lost, for example, if an event of the
// edge-triggered descriptor is missed.
Test(message_channel, delivers_many_frames_in_order)
{
    constexpr std::uint32_t count = 50000;
    runtime context(3);
    echo_server echo(context);
    std::promise<bool> done;
    std::uint32_t received = 0;
    bool in_order = true;
    message_client client(context, {echo.server.address(), std::chrono::seconds(60)},
                          {[&](const wire::frame& frame) {
                               in_order = in_order && frame.chunk().sequence() == received;
                               if (++received == count) {
                                   done.set_value(in_order);
                               }
                           },
                           {}});
    context.start();
    for (std::uint32_t n = 0; n < count; ++n) {
        cr_assert(client.send(make_chunk(n)));
    }
    cr_assert(done.get_future().get());
    context.stop();
}

// Guards against a single frame that stays unread until the next one triggers the descriptor.
Test(message_channel, delivers_single_frames)
{
    constexpr std::uint32_t count = 5000;
    runtime context(3);
    echo_server echo(context);
    std::promise<void> done;
    std::unique_ptr<message_client> client;
    client = std::make_unique<message_client>(
        context, message_client_options{echo.server.address(), std::chrono::seconds(60)},
        message_client_events{[&](const wire::frame& frame) {
                                  const auto next = frame.chunk().sequence() + 1;
                                  if (next == count) {
                                      done.set_value();
                                      return;
                                  }
                                  client->send(make_chunk(next));
                              },
                              {}});
    client->send(make_chunk(0));
    context.start();
    done.get_future().get();
    context.stop();
}

// Guards against a dead connection that is never reported as silent, and against frames queued for
// the old connection that are sent on the new one.
Test(message_channel, replaces_a_silent_connection)
{
    runtime context(3);
    std::vector<std::uint32_t> seen; // used on the strand of the server only
    std::unique_ptr<message_server> server;
    server = std::make_unique<message_server>(
        context, "127.0.0.1:0",
        message_server_events{[&](const connection_id& connection, wire::frame frame) {
            seen.push_back(frame.chunk().sequence());
            server->send(connection, std::move(frame));
        }});
    tcp_proxy proxy(server->address());
    std::atomic<bool> silenced = false;
    std::promise<void> answered_1;
    std::promise<void> answered_3;
    std::unique_ptr<message_client> client;
    client = std::make_unique<message_client>(
        context, message_client_options{proxy.address(), std::chrono::milliseconds(200)},
        message_client_events{[&](const wire::frame& frame) {
                                  if (frame.chunk().sequence() == 1) {
                                      answered_1.set_value();
                                  }
                                  if (frame.chunk().sequence() == 3) {
                                      answered_3.set_value();
                                  }
                              },
                              [&, once = false]() mutable {
                                  if (silenced && !std::exchange(once, true)) {
                                      client->send(make_chunk(2));
                                      client->reconnect();
                                      client->send(make_chunk(3));
                                  }
                              }});
    cr_assert(client->send(make_chunk(1)));
    context.start();
    answered_1.get_future().get();
    proxy.silence_open_connections();
    silenced = true;
    answered_3.get_future().get();
    context.stop();
    cr_assert(seen == std::vector<std::uint32_t>({1, 3}));
}

// Guards against a frame that is accepted for sending although the connection is lost.
Test(message_channel, refuses_frames_after_the_connection_is_lost)
{
    runtime context(2);
    auto echo = std::make_unique<echo_server>(context);
    std::promise<void> answered;
    message_client client(context, {echo->server.address(), std::chrono::seconds(60)},
                          {[&answered, n = 0](const wire::frame&) mutable {
                               if (n++ == 0) {
                                   answered.set_value();
                               }
                           },
                           {}});
    context.start();
    client.send(make_chunk(1));
    answered.get_future().get();
    echo.reset();
    while (client.send(make_chunk(2))) {
        std::this_thread::yield();
    }
    client.reconnect();
    cr_assert(client.send(make_chunk(3)));
    context.stop();
}

// Guards against malformed frames that stop the server or are not answered with protocol_error.
Test(message_channel, answers_malformed_frames)
{
    runtime context(2);
    echo_server echo(context);
    context.start();
    zmq::context_t plain;
    zmq::socket_t dealer(plain, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.connect("tcp://" + echo.server.address());
    const auto ask = [&dealer](const std::string& bytes) {
        dealer.send(zmq::buffer(bytes), zmq::send_flags::none);
        zmq::message_t answer;
        cr_assert(dealer.recv(answer).has_value());
        return decode_frame(answer.to_string());
    };
    const auto whole = encode_frame(make_chunk(7));
    wire::frame later;
    later.set_protocol_version(wire_protocol_version + 1);
    for (const auto& bytes :
         {whole.substr(0, whole.size() - 1), std::string("\xff\xff garbage"), std::string(),
          later.SerializeAsString(), std::string(max_frame_bytes + 1, 'x')}) {
        const auto answer = ask(bytes);
        cr_assert(answer.has_protocol_error());
        cr_assert(!answer.protocol_error().remedy().empty());
        cr_assert(answer.protocol_error().supported_version() == wire_protocol_version);
    }
    dealer.send(zmq::buffer(whole), zmq::send_flags::sndmore);
    cr_assert(ask(whole).has_protocol_error());
    cr_assert(ask(whole).chunk().sequence() == 7);
    context.stop();
}
