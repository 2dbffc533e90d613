#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/route_config.h"
#include "transport/http_message.h"

namespace medlaryoke::gateway {

/// A caller's request after the filters, with its route, organisation and deadline.
struct routed_request {
    std::uint64_t number = 0; ///< unique within the process
    std::string id;           ///< request id that the caller sent
    /// Configuration that was active on arrival; owns the route.
    std::shared_ptr<const model::route_config> config;
    const model::route* route = nullptr;
    std::string organisation;           ///< empty on public routes
    unsigned organisation_priority = 0; ///< compared before the priority; 0 is the most urgent
    unsigned priority = 0;              ///< priority of the route; 0 is the most urgent
    double prompt_tokens = 0;           ///< 0: unknown, or not a generation request
    /// Parts of the prompt that other requests may share, as MODEL/ID.
    std::vector<std::string> shared_parts;
    bool tests_quarantine = false; ///< sent although one of its parts is quarantined
    time_point arrived{};
    time_point deadline{}; ///< the earlier of the caller's deadline and the route's timeout
    transport::http_request message; ///< without hop-by-hop headers and the API key
};

} // namespace medlaryoke::gateway
