#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "controllers/handover_controller.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// The interface for the old router on the operator listener:
/// `POST /v1/handover/<work-id>/offer|withdraw|return|complete` and `GET /v1/handover/<work-id>`.
/// Each POST carries the header `Medlaryoke-Operation`; a repeat with the same value gets the same
/// answer. Thread safe.
class handover_api {
public:
    /// @param controller moves the work; outlives this object and open requests
    /// @param check_payload throws a typed error for a payload that cannot be run
    handover_api(handover_controller& controller,
                 std::function<void(const std::string&)> check_payload)
        : controller_(controller), check_payload_(std::move(check_payload))
    {
    }

    /// Answers a request on the operator listener. Errors are answered as typed JSON.
    /// @param request the request
    /// @param response where the answer goes
    /// @return whether the path is one of this class; if not, nothing was answered
    bool handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& response);

private:
    handover_controller& controller_;
    std::function<void(const std::string&)> check_payload_;
};

} // namespace medlaryoke::controllers
