#include <future>
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include "base/error.h"
#include "transport/error_response.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

using namespace medlaryoke;
using namespace medlaryoke::transport;

namespace {

using fetch_result = std::variant<http_response, http_failure>;

/// A server on a free port and a client of it.
struct http_pair {
    explicit http_pair(http_handler handler, http_server_options options = {})
        : server(context, with_address(std::move(options)), std::move(handler)),
          client(context, server.address())
    {
        context.start();
    }
    http_pair(const http_pair&) = delete;
    http_pair& operator=(const http_pair&) = delete;
    http_pair(http_pair&&) = delete;
    http_pair& operator=(http_pair&&) = delete;
    ~http_pair() { context.stop(); }

    static http_server_options with_address(http_server_options options)
    {
        options.address = "127.0.0.1:0";
        return options;
    }

    fetch_result fetch(const http_request& request, http_timeouts timeouts = {})
    {
        std::promise<fetch_result> result;
        client.fetch(request, timeouts,
                     [&result](fetch_result value) { result.set_value(std::move(value)); });
        return result.get_future().get();
    }

    http_response reply(const http_request& request)
    {
        auto result = this->fetch(request);
        const auto* failure = std::get_if<http_failure>(&result);
        cr_assert(failure == nullptr, "%s", failure != nullptr ? failure->message.c_str() : "");
        return std::get<http_response>(std::move(result));
    }

    runtime context{2};
    http_server server;
    http_client client;
};

void echo(const http_request& request, const std::shared_ptr<response_stream>& stream)
{
    stream->respond(make_json_response(200, request.method + request.target + request.body));
}

} // namespace

// Guards against a request or reply that changes on the way, also on a reused connection.
Test(http, whole_replies)
{
    http_pair pair(echo);
    for (int n = 0; n < 50; ++n) {
        const auto body = std::string(static_cast<std::size_t>(n) * 1000, 'b');
        const auto reply = pair.reply({"POST", "/x?y=1", {{"A", "b"}}, body});
        cr_assert(reply.head.status == 200);
        cr_assert(reply.body == "POST/x?y=1" + body);
    }
    cr_assert(pair.server.open_connections() == 1);
}

// Guards against a stream that loses, repeats or reorders parts.
Test(http, chunked_stream)
{
    constexpr int parts = 2000;
    http_pair pair([](const http_request&, const std::shared_ptr<response_stream>& stream) {
        stream->start({200, {{"Content-Type", "text/event-stream"}}});
        for (int n = 0; n < parts; ++n) {
            stream->write("data: " + std::to_string(n) + "\n\n");
        }
        stream->finish();
    });
    std::string expected;
    for (int n = 0; n < parts; ++n) {
        expected += "data: " + std::to_string(n) + "\n\n";
    }
    const auto reply = pair.reply({"GET", "/", {}, {}});
    cr_assert(reply.body == expected);
    cr_assert(find_header(reply.head.headers, "content-type") == "text/event-stream");
}
