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

/// The configuration in force with its index.
struct active_config {
    std::shared_ptr<const model::route_config> config; ///< null: none is known yet
    std::shared_ptr<const model::route_table> table;
};

/// Runs the filters on a caller's request in their order: identity, route, key, deadline, headers.
/// The first that refuses ends the chain.
class request_filters {
public:
    explicit request_filters(const caller_protocol& protocol) : protocol_(protocol) {}

    /// @param message the request as read; its headers and body are copied into the result
    /// @param active the configuration
    /// @param now when the request was read
    /// @return the request with its route, or why it is refused
    /// @throws error of the kind that tells the caller's mistake; unavailable without configuration
    [[nodiscard]] routed_request apply(const transport::http_request& message,
                                       const active_config& active, time_point now) const;

private:
    void identify(routed_request& request) const;
    static void find_route(routed_request& request, const active_config& active);
    static void authenticate(routed_request& request);
    void limit_time(routed_request& request) const;
    void read_size(routed_request& request) const;
    void clean_headers(routed_request& request) const;

    const caller_protocol& protocol_;
};

} // namespace medlaryoke::gateway
