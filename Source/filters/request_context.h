#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/work_request.h"
#include "transport/http_message.h"

namespace medlaryoke::filters {

/// A request on its way through the filter chain. Each filter sets its part of `work`.
struct request_context {
    transport::http_request request;                        ///< as received
    std::shared_ptr<const controllers::config_view> config; ///< in effect for this request
    time_point now{};                                       ///< when the request was received

    bool is_chat = false; ///< whether it is a chat completion; otherwise it calls a service
    std::string model;    ///< requested model; chat completions only
    std::string service;  ///< requested service; service calls only
    controllers::work_request work; ///< what is queued if no filter refuses the request
};

} // namespace medlaryoke::filters
