#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "gateway/caller_protocol.h"
#include "gateway/routed_request.h"
#include "model/route_config.h"
#include "transport/http_message.h"

namespace medlaryoke::gateway {

/// The active configuration and its route table.
struct active_config {
    std::shared_ptr<const model::route_config> config; ///< null until one is loaded
    std::shared_ptr<const model::route_table> table;
    /// False while a newer configuration may be in force at other gateways. Requests that it does
    /// not allow are then refused as unavailable, since the newer one may allow them.
    bool is_confirmed = true;
};

/// Applies the filters to a caller's request in this order: request id, route, API key, deadline,
/// prompt size, headers. The first filter that refuses the request ends the chain.
class request_filters {
public:
    explicit request_filters(const caller_protocol& protocol) : protocol_(protocol) {}

    /// @param message the request as received; its headers and body are copied into the result
    /// @param active the active configuration
    /// @param now time of arrival
    /// @return the request with its route
    /// @throws error of kind unavailable without a confirmed configuration, invalid_argument
    /// without a request id, not_found without a route, unauthenticated without a valid API key
    [[nodiscard]] routed_request apply(const transport::http_request& message,
                                       const active_config& active, time_point now) const;

private:
    void read_request_id(routed_request& request) const;
    static void find_route(routed_request& request, const active_config& active);
    static void authenticate(routed_request& request, const active_config& active);
    void set_deadline(routed_request& request) const;
    void read_prompt_tokens(routed_request& request) const;
    void read_shared_parts(routed_request& request) const;
    void remove_internal_headers(routed_request& request) const;

    const caller_protocol& protocol_;
};

} // namespace medlaryoke::gateway
