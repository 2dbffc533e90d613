#include "filters/filter_chain.h"

#include <optional>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "fakes/sample_config.h"

using namespace medlaryoke;
using filters::request_context;

namespace {

const std::string chat_body =
    R"({"model":"boba-8b","messages":[{"role":"user","content":"How much tapioca is left?"}]})";

request_context make_context(const std::string& method, const std::string& target,
                             std::string body = {})
{
    request_context context;
    context.request.method = method;
    context.request.target = target;
    context.request.headers = {{"authorization", std::string("Bearer ") + fakes::sample_credential},
                               {"Host", "127.0.0.1"},
                               {"X-Shop", "7"}};
    context.request.body = std::move(body);
    context.config = fakes::make_sample_config();
    return context;
}

request_context make_chat(std::string body = chat_body)
{
    return make_context("POST", "/v1/chat/completions", std::move(body));
}

/// Runs the filter chain of an entry.
/// @return the refusal, empty if the request passes
std::optional<filters::refuse> run(request_context& context)
{
    const auto chain = filters::make_filter_chain({.max_body_bytes = 4096, .admission = {}});
    const auto result = chain.apply(context);
    const auto* const refusal = std::get_if<filters::refuse>(&result);
    if (refusal == nullptr) {
        return std::nullopt;
    }
    cr_assert(!refusal->message.empty() && !refusal->remedy.empty());
    return *refusal;
}

void expect(request_context context, error_kind kind)
{
    const auto refusal = run(context);
    cr_assert(refusal.has_value(), "%s", context.request.body.c_str());
    cr_assert(refusal->kind == kind, "%s", refusal->message.c_str());
}

} // namespace

// Guards against a valid chat completion whose values for queueing and routing are not read.
Test(filter_chain, reads_a_chat_completion)
{
    auto context = make_chat();
    context.request.headers.push_back({"Medlaryoke-Timeout", "1500"});
    context.request.headers.push_back({"Medlaryoke-Priority", "urgent"});
    cr_assert(!run(context));
    const auto& work = context.work;
    cr_assert(work.target == "assistant" && work.idempotent && !work.stream);
    cr_assert(work.organisation == "perlefjord" && work.share == 2);
    cr_assert(work.priority == "urgent" && work.priority_order == 0);
    cr_assert(work.deadline == context.now + std::chrono::milliseconds(1500));
    cr_assert(work.upstream_request.headers.size() == 1, "credentials must not be passed on");
}

// Guards against requests without a priority that compete with urgent ones.
Test(filter_chain, default_priority_is_the_least_urgent_allowed)
{
    auto context = make_chat();
    cr_assert(!run(context));
    cr_assert(context.work.priority == "batch");
}

// Guards against retries of calls that the operator did not declare repeatable, also of calls whose
// path only looks like a declared one.
Test(filter_chain, treats_only_declared_calls_as_idempotent)
{
    const auto idempotent = [](const char* method, const char* target) {
        auto context = make_context(method, target);
        cr_assert(!run(context));
        cr_assert(context.work.target == "desk");
        return context.work.idempotent;
    };
    cr_assert(idempotent("GET", "/v1/services/desk/stock/7?x=1"));
    cr_assert(!idempotent("POST", "/v1/services/desk/stock"));
    cr_assert(!idempotent("GET", "/v1/services/desk/stockroom/open"));
    cr_assert(!idempotent("GET", "/v1/services/desk/reorder"));
    for (const auto* const path : {"stock/../reorder", "stock/%2e%2E/reorder", "stock%2Freorder"}) {
        expect(make_context("GET", std::string("/v1/services/desk/") + path),
               error_kind::invalid_argument);
    }
}

// Guards against invalid requests that pass, or that are refused with the wrong kind of error or
// without a remedy.
Test(filter_chain, refuses_invalid_requests_with_the_right_kind)
{
    for (const auto* const body :
         {"", "{", "[]", "{\"model\":7}", "{\"model\":\"boba-8b\"}",
          R"({"model":"boba-8b","messages":[]})", R"({"model":"boba-8b","messages":[7]})",
          R"({"model":"boba-8b","messages":[{"role":"user","content":7}]})",
          R"({"model":"boba-8b","messages":[{"role":"user"}],"stream":"yes"})",
          R"({"model":"boba-8b","messages":[{"role":"user"}],"max_tokens":-1})",
          "{\"model\":\"\xff\",\"messages\":[]}"}) {
        expect(make_chat(body), error_kind::invalid_argument);
    }
    expect(make_chat(R"({"model":"other","messages":[{"role":"user"}]})"), error_kind::not_found);
    expect(make_chat(std::string(5000, ' ')), error_kind::too_large);
    expect(make_context("GET", "/v1/services/nothing/x"), error_kind::not_found);
    expect(make_context("GET", "/nothing"), error_kind::not_found);
    expect(make_context("GET", "/v1/chat/completions"), error_kind::invalid_argument);
}

// Guards against invalid headers that are ignored.
Test(filter_chain, refuses_invalid_headers)
{
    const auto with = [](const char* name, const char* value) {
        auto context = make_chat();
        context.request.headers.insert(context.request.headers.begin(), {name, value});
        return context;
    };
    expect(with("Authorization", "Bearer wrong"), error_kind::unauthenticated);
    expect(with("Authorization", "Basic c2hvcA=="), error_kind::unauthenticated);
    expect(with("Medlaryoke-Priority", "nothing"), error_kind::invalid_argument);
    expect(with("Medlaryoke-Priority", "normal"), error_kind::permission_denied);
    for (const auto* const value : {"0", "-5", "1.5", "10s", "99999999999999999999"}) {
        expect(with("Medlaryoke-Timeout", value), error_kind::invalid_argument);
    }
    expect(with("Idempotency-Key", "a b"), error_kind::invalid_argument);
    expect(with("Idempotency-Key", std::string(256, 'k').c_str()), error_kind::invalid_argument);
}

// Guards against malformed bodies that terminate the process: each must pass or be refused.
Test(filter_chain, handles_random_bodies)
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 5000; ++round) {
        auto body = chat_body;
        for (unsigned n = random() % 6; n > 0; --n) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        body.resize(random() % 8 == 0 ? random() % body.size() : body.size());
        auto context = make_chat(body);
        run(context);
    }
    expect(make_chat(std::string(4000, '[')), error_kind::invalid_argument);
}

// Guards against prefix hashes that differ between requests with a common prefix, or from the
// hashes in the engines' cache events.
Test(filter_chain, hashes_prefixes_of_the_prompt)
{
    const std::string common(600, 'a');
    const auto hashes = [&common](const std::string& end) {
        auto context = make_chat(R"({"model":"boba-8b","messages":[{"role":"user","content":")" +
                                 common + end + "\"}]}");
        cr_assert(!run(context));
        return context.work.prefix_hashes;
    };
    const auto first = hashes(std::string(200, 'b'));
    const auto second = hashes(std::string(200, 'c'));
    cr_assert(first.size() == 3 && second.size() == 3);
    cr_assert(first[1] == second[1] && first[2] != second[2]);
    cr_assert(first[0] == hash64("user\n" + common.substr(0, 251)));
}
