#include "transport/datagram_socket.h"

#include <future>
#include <string>

#include <criterion/criterion.h>

using namespace medlaryoke::transport;

// Guards against a socket that stops receiving after it sent a datagram to a closed port.
Test(datagram_socket, receives_after_a_failed_send)
{
    runtime context(1);
    std::promise<std::string> got;
    datagram_socket first(context, "127.0.0.1:0",
                          [&got](std::string_view data) { got.set_value(std::string(data)); });
    std::string closed;
    {
        const datagram_socket gone(context, "127.0.0.1:0", [](std::string_view) {});
        closed = gone.address();
    }
    datagram_socket second(context, "127.0.0.1:0", [](std::string_view) {});
    context.start();
    first.send("nobody there", closed);
    second.send("hello", first.address());
    cr_assert(got.get_future().get() == "hello");
    context.stop();
}
