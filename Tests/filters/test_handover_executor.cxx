#include "filters/handover_executor.h"

#include <optional>
#include <random>
#include <string>
#include <variant>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "controllers/outcome.h"
#include "fakes/sample_config.h"

using namespace medlaryoke;
using controllers::work_done;
using controllers::work_not_run;
using controllers::work_unknown;
using nlohmann::json;

namespace {

/// Runs work against a queue that stores the request, so that the test can send the reply.
struct executor_fixture {
    const controllers::work_result& run(const std::string& payload)
    {
        this->queued.reset();
        this->result.reset();
        this->executor.execute("w1", payload, [this](controllers::work_result it) {
            cr_assert(!this->result, "answered twice");
            this->result = std::move(it);
        });
        static const controllers::work_result none = work_unknown{"no answer yet"};
        return this->result ? *this->result : none;
    }

    manual_clock clock;
    std::optional<controllers::work_request> queued;
    std::shared_ptr<transport::response_stream> response;
    std::optional<controllers::work_result> result;
    filters::handover_executor executor{
        clock,
        {.config = [] { return fakes::make_sample_config(); },
         .submit =
             [this](controllers::work_request work,
                    std::shared_ptr<transport::response_stream> answer) {
                 this->queued = std::move(work);
                 this->response = std::move(answer);
             }}};
};

json sample_payload()
{
    return {{"caller", "shop"},     {"method", "POST"},   {"path", "/v1/services/desk/reorder"},
            {"priority", "urgent"}, {"timeout_ms", 5000}, {"body", {{"item", "pearls"}}}};
}

template <typename Result>
const Result& expect(const std::optional<controllers::work_result>& result)
{
    static const Result none{};
    const auto* found = result ? std::get_if<Result>(&*result) : nullptr;
    cr_assert(found != nullptr);
    return found == nullptr ? none : *found;
}

void answer(executor_fixture& it, controllers::outcome outcome, const std::string& body)
{
    it.response->respond(
        {{201,
          {{"Content-Type", "application/json"},
           {std::string(controllers::outcome_header), std::string(to_string(outcome))}}},
         body});
}

} // namespace

// Guards against work that runs without an idempotency key made from its id, which lets a takeover
// run it twice, and against work that runs without the rights of its caller.
Test(handover_executor, runs_under_the_work_id_for_the_named_caller)
{
    executor_fixture it;
    it.run(sample_payload().dump());
    const auto work = it.queued.value_or(controllers::work_request{});
    cr_assert(work.idempotency_key == "handover/w1" && !work.idempotent);
    cr_assert(work.target == "desk" && work.organisation == "perlefjord" && work.share == 2);
    cr_assert(work.priority == "urgent" && work.upstream_request.target == "/reorder");
    cr_assert(work.upstream_request.body == R"({"item":"pearls"})");
    cr_assert(work.deadline == it.clock.now() + std::chrono::seconds(5));
    answer(it, controllers::outcome::answered, "{}");
    const auto result = json::parse(expect<work_done>(it.result).result);
    cr_assert(result.at("status") == 201 && result.at("body") == "{}");
}

// Guards against an outcome that is reported as another one, and against results of unlimited size.
Test(handover_executor, reports_the_outcome_of_the_request)
{
    executor_fixture it;
    it.run(sample_payload().dump());
    answer(it, controllers::outcome::not_run, "busy");
    expect<work_not_run>(it.result);
    it.run(sample_payload().dump());
    answer(it, controllers::outcome::unknown, "lost");
    expect<work_unknown>(it.result);
    it.run(sample_payload().dump());
    it.response->abort();
    it.response->finish();
    expect<work_unknown>(it.result);
    it.run(sample_payload().dump());
    answer(it, controllers::outcome::answered, std::string(1'000'000, 'x'));
    const auto& result = expect<work_done>(it.result).result;
    cr_assert(result.size() < 1000 && json::parse(result).at("body_bytes") == 1'000'000);
}

// Guards against work that cannot be run and is not reported as not run.
Test(handover_executor, rejects_work_that_cannot_be_run)
{
    executor_fixture it;
    const json unknown{
        {"caller", "nobody"}, {"path", "/v1/services/none/x"}, {"priority", "normal"}};
    for (const auto& [key, value] : unknown.items()) {
        auto payload = sample_payload();
        payload[key] = value;
        filters::handover_executor::check(payload.dump());
        it.run(payload.dump());
        expect<work_not_run>(it.result);
    }
    std::mt19937 random(20261204);
    const auto sample = sample_payload().dump();
    for (int round = 0; round < 3000; ++round) {
        auto text = sample;
        for (auto n = 1 + random() % 3; n > 0; --n) {
            static constexpr std::string_view alphabet = "{}[]\":,0-a\xff\x01";
            text[random() % text.size()] = alphabet[random() % alphabet.size()];
        }
        it.run(text);
        try {
            filters::handover_executor::check(text);
        }
        catch (const error& e) {
            cr_assert(e.kind() == error_kind::invalid_argument);
            expect<work_not_run>(it.result);
        }
    }
}
