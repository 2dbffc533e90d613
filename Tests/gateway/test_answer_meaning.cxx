#include "gateway/answer_meaning.h"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::gateway;

namespace {

const std::vector<unsigned> promises{408, 421, 429, 503};

caller_protocol make_protocol()
{
    caller_protocol names;
    names.signature = "X-Signature";
    names.not_run = "X-Not-Run";
    return names;
}

answer_meaning interpret(unsigned status, const std::vector<transport::http_header>& headers)
{
    return interpret_answer({status, headers}, make_protocol());
}

} // namespace

// Guards against an answer that is forwarded as a promise that the request did not run although the
// upstream promised nothing: for every status, with every combination of headers.
Test(answer_meaning, promises_only_what_the_upstream_promised)
{
    for (unsigned status = 200; status <= 599; ++status) {
        const bool is_promise = std::ranges::find(promises, status) != promises.end();
        for (const bool is_signed : {false, true}) {
            std::vector<transport::http_header> headers{{"Content-Type", "text/plain"}};
            if (is_signed) {
                headers.push_back({"x-signature", "s"});
            }
            const auto meaning = interpret(status, headers);
            cr_assert((meaning == answer_meaning::not_run) == (status == 421), "%u", status);
            const bool is_forwarded = meaning == answer_meaning::success ||
                                      meaning == answer_meaning::failure ||
                                      meaning == answer_meaning::server_error;
            cr_assert(!(is_promise && is_forwarded), "%u", status);
            headers.push_back({"X-Not-Run", "1"});
            cr_assert(interpret(status, headers) == answer_meaning::not_run, "%u", status);
        }
    }
}

// Guards against a success that is not the upstream's own, a failure that is repeated in vain, and
// a server error that is not.
Test(answer_meaning, tells_success_failure_and_server_error_apart)
{
    const transport::http_header signature{"X-Signature", "s"};
    for (unsigned status = 200; status <= 599; ++status) {
        if (std::ranges::find(promises, status) != promises.end()) {
            cr_assert(interpret(status, {signature}) ==
                          (status == 421 ? answer_meaning::not_run : answer_meaning::unusable),
                      "%u", status);
            continue;
        }
        const auto expected = status <= 299   ? answer_meaning::success
                              : status <= 499 ? answer_meaning::failure
                                              : answer_meaning::server_error;
        cr_assert(interpret(status, {signature}) == expected, "%u", status);
        const auto unsigned_meaning = status <= 299 ? answer_meaning::unusable : expected;
        cr_assert(interpret(status, {}) == unsigned_meaning, "%u", status);
        const auto encoded = interpret(status, {signature, {"Content-Encoding", "gzip"}});
        cr_assert(encoded == unsigned_meaning, "%u", status);
    }
}
