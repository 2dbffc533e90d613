#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/peer_directory.h"
#include "controllers/request_dispatcher.h"
#include "controllers/request_statistics.h"
#include "filters/filter_chain.h"
#include "transport/http_server.h"

namespace medlaryoke::filters {

/// Settings of a caller_api and the sources of its data.
struct caller_api_options {
    duration address_lifetime = std::chrono::seconds(5); ///< how long callers may cache addresses
    std::function<std::shared_ptr<const controllers::config_view>()> config;
    std::function<std::vector<controllers::entry_address>()> entries;
};

/// The HTTP interface for callers: `/v1/entries`, `/v1/keys`, `/v1/chat/completions` and
/// `/v1/services/<service>/<path>`. Thread safe.
class caller_api {
public:
    /// @param clock the current time
    /// @param options settings, and functions that return the configuration and the entries
    /// @param chain the filters that each request for an upstream passes through
    /// @param dispatcher runs the requests that pass the filters
    /// @param statistics counts the requests that a filter refuses
    caller_api(const clock_source& clock, caller_api_options options, filter_chain chain,
               controllers::request_dispatcher& dispatcher,
               controllers::request_statistics& statistics);

    /// Handles a request of a caller.
    /// @param request the request
    /// @param response receives the reply
    void handle(transport::http_request request,
                const std::shared_ptr<transport::response_stream>& response) const;

private:
    void respond_with_entries(transport::response_stream& response) const;
    void respond_with_key(transport::http_request request,
                          transport::response_stream& response) const;
    void submit(transport::http_request request,
                const std::shared_ptr<transport::response_stream>& response) const;

    const clock_source& clock_;
    caller_api_options options_;
    filter_chain chain_;
    controllers::request_dispatcher& dispatcher_;
    controllers::request_statistics& statistics_;
};

} // namespace medlaryoke::filters
