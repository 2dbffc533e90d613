#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "controllers/config_store.h"
#include "controllers/work_request.h"
#include "transport/http_message.h"

namespace medlaryoke::filters {

/// What the filters know of one request. Each filter fills in its part of `work`.
struct request_context {
    transport::http_request request; ///< as received
    std::shared_ptr<const controllers::config_view> config;
    time_point now{}; ///< when the request was received

    bool chat = false;   ///< a chat completion; otherwise a call of a plain service
    std::string model;   ///< model asked for; only for chat completions
    std::string service; ///< service asked for; only for plain services
    controllers::work_request work;
};

} // namespace medlaryoke::filters
