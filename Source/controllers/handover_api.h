#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "controllers/handover_controller.h"
#include "transport/http_server.h"

namespace medlaryoke::controllers {

/// The HTTP interface for the old router on the operator listener:
/// `POST /v1/handover/<work-id>/offer|withdraw|return|complete` and `GET /v1/handover/<work-id>`.
/// Each POST must have the header `Medlaryoke-Operation`. A repeated action with the same value
/// gets the same answer. Thread safe.
class handover_api {
public:
    /// @param controller transfers the work; outlives this object and open requests
    /// @param check_payload throws a typed error for a payload that cannot be run
    handover_api(handover_controller& controller,
                 std::function<void(const std::string&)> check_payload)
        : controller_(controller), check_payload_(std::move(check_payload))
    {
    }

    /// Handles a request on the operator listener. Errors are reported as typed JSON.
    /// @param request the request
    /// @param response receives the response, possibly after this call has returned
    /// @return whether the path belongs to this interface; if not, no response is sent
    bool handle(const transport::http_request& request,
                const std::shared_ptr<transport::response_stream>& response);

private:
    handover_controller& controller_;
    std::function<void(const std::string&)> check_payload_;
};

} // namespace medlaryoke::controllers
