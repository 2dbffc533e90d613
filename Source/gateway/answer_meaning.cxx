#include "gateway/answer_meaning.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace medlaryoke::gateway {

namespace {

constexpr unsigned first_success = 200;
constexpr unsigned last_success = 299;
constexpr unsigned first_server_error = 500;
constexpr unsigned misdirected_status = 421;

// Statuses that callers take as a promise that the request did not run.
constexpr std::array<unsigned, 4> promise_statuses{408, misdirected_status, 429, 503};

} // namespace

answer_meaning interpret_answer(const transport::http_head& head, const caller_protocol& protocol)
{
    const auto has = [&head](std::string_view name) {
        return !transport::find_header(head.headers, name).empty();
    };
    if (head.status == misdirected_status || has(protocol.not_run)) {
        return answer_meaning::not_run;
    }
    if (head.status >= first_success && head.status <= last_success) {
        // Callers ask for no encoding, so an encoded body is not the upstream's.
        const bool is_whole = has(protocol.signature) && !has("Content-Encoding");
        return is_whole ? answer_meaning::success : answer_meaning::unusable;
    }
    if (std::ranges::find(promise_statuses, head.status) != promise_statuses.end()) {
        return answer_meaning::unusable;
    }
    return head.status >= first_server_error ? answer_meaning::server_error
                                             : answer_meaning::failure;
}

} // namespace medlaryoke::gateway
