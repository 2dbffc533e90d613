#include "transport/error_response.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/json_text.h"

namespace medlaryoke::transport {

http_response make_error_response(const error& failure, std::string_view outcome)
{
    const nlohmann::json body{{"error",
                               {{"kind", to_string(failure.kind())},
                                {"message", failure.what()},
                                {"remedy", failure.remedy()}}},
                              {"outcome", outcome}};
    // The message may quote bytes of a request that are not valid UTF-8, which json::dump()
    // rejects.
    auto response = make_json_response(http_status(failure.kind()), to_json_text(body));
    response.head.headers.push_back({"Medlaryoke-Outcome", std::string(outcome)});
    return response;
}

http_header make_retry_after(duration wait)
{
    return {"Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(wait).count())};
}

http_response make_json_response(unsigned status, std::string body)
{
    return {{status, {{"Content-Type", "application/json"}}}, std::move(body)};
}

} // namespace medlaryoke::transport
