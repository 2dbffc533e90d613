#include "transport/message_channel.h"

#include <future>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::transport;

namespace {

wire::frame make_chunk(std::uint32_t sequence)
{
    wire::frame frame;
    frame.mutable_chunk()->set_sequence(sequence);
    frame.mutable_chunk()->set_data(std::string(200, 'c'));
    return frame;
}

} // namespace

// Guards against frames lost or reordered, as when an edge of the descriptor is missed.
Test(message_channel, many_frames_in_order)
{
    constexpr std::uint32_t count = 50000;
    runtime context(3);
    std::unique_ptr<message_server> server;
    server = std::make_unique<message_server>(
        context, "127.0.0.1:0",
        message_server_events{[&server](const connection_id& connection, wire::frame frame) {
            server->send(connection, std::move(frame));
        }});
    std::promise<bool> done;
    std::uint32_t received = 0;
    bool in_order = true;
    message_client client(context, {server->address(), std::chrono::seconds(20)},
                          {[&](const wire::frame& frame) {
                               in_order = in_order && frame.chunk().sequence() == received;
                               if (++received == count) {
                                   done.set_value(in_order);
                               }
                           },
                           [&] { done.set_value(false); }});
    context.start();
    for (std::uint32_t n = 0; n < count; ++n) {
        cr_assert(client.send(make_chunk(n)));
    }
    cr_assert(done.get_future().get());
    context.stop();
}
