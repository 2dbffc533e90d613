#include "controllers/outcome.h"

#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace medlaryoke::controllers {

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

std::string make_failure_body(const request_failure& failure, const std::string& request_id)
{
    const nlohmann::json body{{"outcome", to_string(failure.result)},
                              {"error",
                               {{"kind", medlaryoke::to_string(failure.kind)},
                                {"message", failure.message},
                                {"remedy", failure.remedy},
                                {"request_id", request_id}}}};
    // Messages may quote bytes of the request that are not valid UTF-8.
    return to_json_text(body);
}

transport::http_response make_failure_response(const request_failure& failure,
                                               const std::string& request_id)
{
    transport::http_response response;
    response.head.status = http_status(failure.kind);
    response.head.headers = {{"Content-Type", "application/json"},
                             {std::string(outcome_header), std::string(to_string(failure.result))},
                             {std::string(request_id_header), request_id}};
    response.body = make_failure_body(failure, request_id);
    return response;
}

} // namespace medlaryoke::controllers
