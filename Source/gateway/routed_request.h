#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "model/route_config.h"
#include "transport/http_message.h"

namespace medlaryoke::gateway {

/// A caller's request after the filters: where it goes, for whom, and until when.
struct routed_request {
    std::uint64_t number = 0; ///< unique within the process
    std::string id;           ///< as the caller sent it
    /// Keeps the route alive when the configuration changes.
    std::shared_ptr<const model::route_config> config;
    const model::route* route = nullptr;
    std::string organisation;       ///< empty on public routes
    unsigned organisation_rank = 0; ///< goes before the priority; 0 is the most urgent
    unsigned priority = 0;          ///< of the route; 0 is the most urgent
    double prompt_tokens = 0;       ///< 0: unknown, or no generation
    time_point arrived{};
    time_point deadline{};           ///< the earlier of the caller's and the route's
    transport::http_request message; ///< without headers that concern one connection or the key
};

} // namespace medlaryoke::gateway
