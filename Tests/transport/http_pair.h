#pragma once

#include <future>
#include <string>
#include <utility>
#include <variant>

#include <criterion/criterion.h>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace medlaryoke::transport {

using fetch_result = std::variant<http_response, http_failure>;

/// Sends a request and waits for the reply or the failure.
inline fetch_result fetch(http_client& client, const http_request& request,
                          http_timeouts timeouts = {})
{
    std::promise<fetch_result> result;
    client.fetch(request, timeouts,
                 [&result](fetch_result value) { result.set_value(std::move(value)); });
    return result.get_future().get();
}

/// Sends a request that must succeed and returns the reply.
inline http_response reply(http_client& client, const http_request& request)
{
    auto result = fetch(client, request);
    const auto* failure = std::get_if<http_failure>(&result);
    cr_assert(failure == nullptr, "%s", failure != nullptr ? failure->message.c_str() : "");
    return std::get<http_response>(std::move(result));
}

/// Sends a request that must fail and returns the failure.
inline http_failure failure(http_client& client, const http_request& request,
                            http_timeouts timeouts = {})
{
    auto result = fetch(client, request, timeouts);
    cr_assert(std::holds_alternative<http_failure>(result));
    return std::get<http_failure>(std::move(result));
}

/// An HTTP server on a free port and a client connected to it.
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

    runtime context{2};
    http_server server;
    http_client client;
};

} // namespace medlaryoke::transport
