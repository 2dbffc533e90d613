#include "transport/http_client.h"

#include <atomic>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "base/error.h"
#include "fakes/raw_socket.h"
#include "fakes/tcp_proxy.h"
#include "transport/error_response.h"
#include "transport/http_pair.h"

using namespace medlaryoke;
using namespace medlaryoke::transport;
using medlaryoke::fakes::raw_listener;
using medlaryoke::fakes::tcp_proxy;

namespace {

const http_request get_request{"GET", "/", {}, {}};

constexpr std::string_view ok_reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A client of a server that the test plays itself.
struct scripted_server {
    scripted_server() { context.start(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    ~scripted_server() { context.stop(); }

    std::future<fetch_result> start(http_timeouts timeouts = {})
    {
        return std::async(std::launch::async,
                          [this, timeouts] { return fetch(this->client, get_request, timeouts); });
    }

    raw_listener listener;
    runtime context{2};
    http_client client{context, listener.address()};
};

bool is_ok(const fetch_result& result)
{
    const auto* response = std::get_if<http_response>(&result);
    return response != nullptr && response->body == "ok";
}

/// A client whose kept connections have all gone silent without being closed.
struct silent_connections {
    explicit silent_connections(std::size_t count)
    {
        std::vector<std::promise<fetch_result>> results(count);
        for (auto& result : results) {
            this->client.fetch(get_request, {}, [&result](fetch_result value) {
                result.set_value(std::move(value));
            });
        }
        for (auto& result : results) {
            cr_assert(is_ok(result.get_future().get()));
        }
        this->proxy.silence_open_connections();
    }

    http_pair pair{[](const http_request&, const std::shared_ptr<response_stream>& stream) {
        stream->respond(make_json_response(200, "ok"));
    }};
    tcp_proxy proxy{pair.server.address()};
    http_client client{pair.context, proxy.address()};
};

} // namespace

// Guards against a request that runs twice because the client sends it again by itself.
Test(http_client, never_sends_a_request_twice)
{
    scripted_server script;
    auto first = script.start();
    {
        const auto connection = script.listener.accept();
        cr_assert(connection.read_until("\r\n\r\n").starts_with("GET / HTTP/1.1"));
        connection.send(ok_reply);
        cr_assert(is_ok(first.get()));
        auto second = script.start();
        cr_assert(!connection.read_until("\r\n\r\n").empty()); // reused, and closed without a reply
        first = std::move(second);
    }
    const auto result = first.get();
    cr_assert(std::get<http_failure>(result).maybe_sent);
    cr_assert(!script.listener.has_pending());
}

// Guards against failures of requests on connections that the server closed while idle.
Test(http_client, replaces_a_connection_closed_while_idle)
{
    scripted_server script;
    for (int n = 0; n < 20; ++n) {
        auto running = script.start();
        const auto connection = script.listener.accept();
        cr_assert(!connection.read_until("\r\n\r\n").empty());
        connection.send(ok_reply);
        cr_assert(is_ok(running.get()));
    }
}

// Guards against "may have run" where nothing left the process.
Test(http_client, tells_that_nothing_was_sent)
{
    std::string address;
    {
        const raw_listener closed;
        address = closed.address();
    }
    runtime context(1);
    http_client client(context, address);
    context.start();
    const auto refused = failure(client, get_request);
    cr_assert(!refused.maybe_sent);
    cr_assert(refused.kind == error_kind::unavailable);
    const auto injected = failure(client, {"GET", "/", {{"A", "b\r\nC: d"}}, {}});
    cr_assert(!injected.maybe_sent);
    cr_assert(injected.kind == error_kind::invalid_argument);
    context.stop();
}

// Guards against a reply cut short that is presented as whole.
Test(http_client, reports_broken_replies)
{
    scripted_server script;
    for (const std::string_view bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "garbage\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-"}) {
        auto running = script.start();
        {
            const auto connection = script.listener.accept();
            cr_assert(!connection.read_until("\r\n\r\n").empty());
            connection.send(bytes);
        }
        const auto result = running.get();
        cr_assert(std::get<http_failure>(result).maybe_sent);
    }
}

// Guards against waiting on, or reusing, connections that went silent without being closed.
Test(http_client, retires_silent_connections)
{
    silent_connections site(8);
    http_timeouts timeouts;
    timeouts.first_byte = std::chrono::milliseconds(50);
    const auto silent = failure(site.client, get_request, timeouts);
    cr_assert(silent.kind == error_kind::deadline_exceeded);
    cr_assert(silent.maybe_sent);
    const auto opened = site.proxy.opened();
    cr_assert(is_ok(fetch(site.client, get_request)));
    cr_assert(site.proxy.opened() == opened + 1);
}

// Guards against requests that hang one after the other in connections that went silent together:
// the first one is cancelled at its own deadline and not by a timeout of the client.
Test(http_client, retires_silent_connections_after_a_cancel)
{
    silent_connections site(4);
    const auto hanging = site.client.send(get_request, {}, {});
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    hanging->cancel();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const auto opened = site.proxy.opened();
    http_timeouts timeouts;
    timeouts.first_byte = std::chrono::seconds(2);
    cr_assert(is_ok(fetch(site.client, get_request, timeouts)));
    cr_assert(site.proxy.opened() == opened + 1);
}

// Guards against events after a cancel.
Test(http_client, cancel_ends_the_events)
{
    scripted_server script;
    http_events events;
    std::promise<void> head;
    std::atomic<bool> late = false;
    events.on_head = [&head](const http_head&) { head.set_value(); };
    events.on_end = [&late] { late = true; };
    events.on_failure = [&late](const http_failure&) { late = true; };
    const auto running = script.client.send(get_request, {}, events);
    const auto connection = script.listener.accept();
    cr_assert(!connection.read_until("\r\n\r\n").empty());
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
    head.get_future().get();
    running->cancel();
    cr_assert(connection.read_all().empty()); // the client closes the connection
    cr_assert(!late);
}

// Guards against an extra late answer of an upstream that is taken for the answer to the next
// request on its connection.
Test(http_client, skips_an_answer_to_another_request)
{
    scripted_server script;
    std::promise<std::string> body;
    http_events events;
    events.is_own_reply = [](const http_head& head) {
        return find_header(head.headers, "X-Id") == "mine";
    };
    auto text = std::make_shared<std::string>();
    events.on_data = [text](const std::string& data) { *text += data; };
    events.on_end = [text, &body] { body.set_value(*text); };
    const auto exchange = script.client.send(get_request, {}, events);
    const auto first = script.listener.accept();
    cr_assert(!first.read_until("\r\n\r\n").empty());
    first.send("HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
               "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
    cr_assert(body.get_future().get() == "mine");
    // The connection is out of step, so the next request takes another one.
    auto next = script.start();
    const auto second = script.listener.accept();
    cr_assert(!second.read_until("\r\n\r\n").empty());
    second.send(ok_reply);
    cr_assert(is_ok(next.get()));
}

// Guards against a request that crosses the close of a connection that the server keeps for a
// short time only.
Test(http_client, heeds_the_time_that_a_server_keeps_a_connection)
{
    scripted_server script;
    auto first = script.start();
    const auto connection = script.listener.accept();
    cr_assert(!connection.read_until("\r\n\r\n").empty());
    connection.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(is_ok(first.get()));
    auto second = script.start();
    const auto other = script.listener.accept();
    cr_assert(!other.read_until("\r\n\r\n").empty());
    other.send(ok_reply);
    cr_assert(is_ok(second.get()));
}

// Guards against a forwarded request that names the upstream's address instead of the host that
// the caller meant.
Test(http_client, keeps_the_host_of_a_forwarded_request)
{
    scripted_server script;
    auto sent = std::async(std::launch::async, [&script] {
        return fetch(script.client, {"GET", "/", {{"Host", "shop.example"}}, {}});
    });
    const auto connection = script.listener.accept();
    const auto text = connection.read_until("\r\n\r\n");
    cr_assert(text.find("Host: shop.example\r\n") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find(script.listener.address()) == std::string::npos, "%s", text.c_str());
    connection.send(ok_reply);
    cr_assert(is_ok(sent.get()));
}
