#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "fakes/endless_sender.h"
#include "fakes/raw_socket.h"
#include "transport/error_response.h"
#include "transport/http_client.h"
#include "transport/http_pair.h"

using namespace medlaryoke;
using namespace medlaryoke::transport;
using namespace std::chrono_literals;
using medlaryoke::fakes::endless_sender;
using medlaryoke::fakes::raw_connection;
using medlaryoke::fakes::resident_bytes;

namespace {

const std::string kilobyte(1024, 'x');
const std::string ok_head = "HTTP/1.1 200 OK\r\n";

// What one exchange may hold beside the limit of the reply: read buffers and copies in transit.
constexpr std::size_t working_memory = 24U * 1024U * 1024U;

constexpr std::size_t reply_limit = 4U * 1024U * 1024U;

/// Fetches from a server that never stops sending, and checks that the client gives up, closes the
/// connection and holds no more than the limit.
void expect_bounded_fetch(const std::string& beginning, const std::string& repeated,
                          std::chrono::milliseconds pause = {}, http_timeouts timeouts = {})
{
    const auto before = resident_bytes();
    const endless_sender server(beginning, repeated, pause);
    runtime context{1};
    context.start();
    {
        http_client client(context, server.address());
        std::promise<fetch_result> result;
        auto arrived = result.get_future();
        client.fetch(
            {"GET", "/", {}, {}}, timeouts,
            [&result](fetch_result value) { result.set_value(std::move(value)); }, reply_limit);
        const bool has_arrived = arrived.wait_for(5s) == std::future_status::ready;
        cr_expect(has_arrived, "the fetch does not end");
        cr_expect(!has_arrived || std::holds_alternative<http_failure>(arrived.get()));
        cr_expect(server.is_closed_within(2s), "the connection stays open");
        const auto after = resident_bytes();
        cr_expect(after < before + reply_limit + working_memory, "%zu bytes more", after - before);
    }
    context.stop();
}

} // namespace

// Guards against a process that fills its memory, or reads for ever, when a server sends bytes that
// are no reply without end.
Test(endless_bytes, a_head_without_end)
{
    expect_bounded_fetch(ok_head, "X-Filler: " + kilobyte + "\r\n");
    expect_bounded_fetch("", kilobyte);
    expect_bounded_fetch("", "HTTP/1.1 100 Continue\r\n\r\n");
}

// As above, in a body of each framing.
Test(endless_bytes, a_body_without_end)
{
    expect_bounded_fetch(ok_head + "\r\n", kilobyte);
    expect_bounded_fetch(ok_head + "Content-Length: 1000000000000\r\n\r\n", kilobyte);
    expect_bounded_fetch(ok_head + "Transfer-Encoding: chunked\r\n\r\n",
                         "400\r\n" + kilobyte + "\r\n");
}

// As above, where the chunked coding has no end: in the size line, its extension and the trailer.
Test(endless_bytes, a_chunk_line_without_end)
{
    const auto chunked = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
    expect_bounded_fetch(chunked + "400;", kilobyte);
    expect_bounded_fetch(chunked, "0000000000000000");
    expect_bounded_fetch(chunked + "0\r\n", "X-Filler: " + kilobyte + "\r\n");
}

// Guards against an exchange that a server keeps open with a byte now and then.
Test(endless_bytes, a_byte_now_and_then)
{
    http_timeouts timeouts;
    timeouts.first_byte = 500ms;
    timeouts.between_bytes = 500ms;
    timeouts.total = 1s;
    expect_bounded_fetch(ok_head + "\r\n", "x", 50ms, timeouts);
    expect_bounded_fetch(ok_head, "X: y\r\n", 50ms, timeouts);
}

// Guards against a client that skips replies to other requests for ever.
Test(endless_bytes, replies_to_other_requests)
{
    const std::string other_reply = ok_head + "X-Id: other\r\nContent-Length: 1024\r\n\r\n";
    for (const auto& [beginning, repeated] :
         {std::pair(std::string(), other_reply + kilobyte),
          std::pair(ok_head + "X-Id: other\r\n\r\n", kilobyte)}) {
        const endless_sender server(beginning, repeated);
        runtime context{1};
        context.start();
        {
            http_client client(context, server.address());
            std::promise<void> failed;
            http_events events;
            events.is_matching_reply = [](const http_head& head) {
                return find_header(head.headers, "X-Id") == "own";
            };
            events.on_failure = [&failed](const http_failure&) { failed.set_value(); };
            const auto exchange = client.send({"GET", "/", {}, {}}, {}, std::move(events));
            cr_expect(failed.get_future().wait_for(5s) == std::future_status::ready);
            cr_expect(server.is_closed_within(2s));
        }
        context.stop();
    }
}

// Guards against a caller that fills the memory of a process, or keeps a connection for ever, with
// a request that has no end.
Test(endless_bytes, requests_of_a_caller)
{
    http_server_options options;
    options.header_timeout = 1s;
    options.request_timeout = 1s;
    const http_pair pair(
        [](const http_request&, const std::shared_ptr<response_stream>& stream) {
            stream->respond(make_json_response(200, "ok"));
        },
        options);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto before = resident_bytes();
    for (const auto& [beginning, repeated] :
         {std::pair(std::string(), kilobyte), std::pair(head, "X-Filler: " + kilobyte + "\r\n"),
          std::pair(chunked, "400\r\n" + kilobyte + "\r\n"), std::pair(chunked + "400;", kilobyte),
          std::pair(chunked + "0\r\n", "X-Filler: " + kilobyte + "\r\n")}) {
        const raw_connection connection(pair.server.address());
        bool is_closed = false;
        const auto end = std::chrono::steady_clock::now() + 4s;
        try {
            connection.send(beginning);
            while (std::chrono::steady_clock::now() < end) {
                connection.send(repeated);
            }
        }
        catch (const std::system_error&) {
            is_closed = true;
        }
        cr_expect(is_closed, "a request that repeats '%.12s' is read for ever", repeated.c_str());
        cr_expect(resident_bytes() < before + working_memory, "%zu bytes more",
                  resident_bytes() - before);
    }
}
