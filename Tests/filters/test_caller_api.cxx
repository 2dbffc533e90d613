#include "filters/caller_api.h"

#include <memory>
#include <string>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "controllers/operator_status.h"
#include "fakes/fake_response_stream.h"
#include "fakes/fake_upstream_link.h"
#include "fakes/sample_config.h"

using namespace medlaryoke;
using fakes::fake_response_stream;
using nlohmann::json;

namespace {

/// The caller API of an entry with one upstream and without a network.
struct fixture {
    fixture()
    {
        dispatcher.set_upstreams("assistant", {{"engine-1", link}});
        filters::caller_api_options options;
        options.config = [this] { return this->config; };
        options.entries = [] {
            return std::vector<controllers::entry_address>{{"127.0.0.1:80", "oslo-1"}};
        };
        filters::filter_chain_options chain;
        chain.admission = [this](const auto&) -> filters::filter_result {
            if (this->draining) {
                return filters::refuse{error_kind::unavailable, "draining", "Go elsewhere."};
            }
            return filters::proceed{};
        };
        api = std::make_unique<filters::caller_api>(
            clock, options, filters::make_filter_chain(chain), dispatcher, statistics);
    }

    std::shared_ptr<fake_response_stream>
    send(const std::string& method, const std::string& target, const std::string& body = {},
         const std::string& credential = fakes::sample_credential)
    {
        auto response = std::make_shared<fake_response_stream>();
        api->handle({method, target, {{"Authorization", "Bearer " + credential}}, body}, response);
        return response;
    }

    std::shared_ptr<fake_response_stream> chat()
    {
        return this->send("POST", "/v1/chat/completions",
                          R"({"model":"boba-8b","messages":[{"role":"user","content":"Hi"}]})");
    }

    bool draining = false;
    std::shared_ptr<const controllers::config_view> config = fakes::make_sample_config();
    manual_clock clock;
    controllers::request_statistics statistics;
    controllers::request_dispatcher dispatcher{clock, {}, statistics};
    std::shared_ptr<fakes::fake_upstream_link> link = std::make_shared<fakes::fake_upstream_link>();
    std::unique_ptr<filters::caller_api> api;
};

} // namespace

// Guards against a refused request that is run, or whose reply lacks the remedy or the outcome.
Test(caller_api, reports_refusals_as_errors_that_were_not_run)
{
    fixture f;
    for (const auto& response :
         {f.send("POST", "/v1/chat/completions", "{"), f.send("GET", "/nothing"),
          f.send("POST", "/v1/chat/completions", "{}", "wrong"), f.send("POST", "/v1/entries"),
          f.send("POST", "/v1/keys", "", "wrong")}) {
        cr_assert(response->outcome() == "not-run" && response->head->status >= 400);
        const auto body = json::parse(response->body);
        cr_assert(body["outcome"] == "not-run");
        cr_assert(!body["error"]["remedy"].get<std::string>().empty());
    }
    cr_assert(f.link->calls.empty());
}

// Guards against an entry that rejects valid credentials because it has no configuration yet.
Test(caller_api, reports_unavailable_without_configuration)
{
    fixture f;
    f.config = std::make_shared<controllers::config_view>();
    cr_assert(f.chat()->head->status == 503);
}

// Guards against a drain that interrupts running requests or accepts new ones (P6).
Test(caller_api, drain_completes_running_requests)
{
    fixture f;
    const auto running = f.chat();
    f.draining = true;
    const auto during_drain = f.chat();
    cr_assert(during_drain->head->status == 503 && during_drain->outcome() == "not-run");
    cr_assert(f.link->calls.size() == 1 && f.dispatcher.open_requests() == 1);
    f.link->calls[0].events.on_head({200, {}});
    f.link->calls[0].events.on_data("{}");
    f.link->calls[0].events.on_finished();
    cr_assert(running->outcome() == "answered" && f.dispatcher.open_requests() == 0);
}

// Guards against addresses that are returned without their lifetime, and against keys that repeat.
Test(caller_api, returns_entries_and_keys)
{
    fixture f;
    const auto entries = json::parse(f.send("GET", "/v1/entries")->body);
    cr_assert(entries["ttl_ms"] == 5000 && entries["entries"][0]["address"] == "127.0.0.1:80");
    const auto make_key = [&f] {
        return json::parse(f.send("POST", "/v1/keys")->body)["key"].get<std::string>();
    };
    const auto key = make_key();
    cr_assert(key.starts_with("mk1-") && key != make_key());
}

// Guards against status endpoints that fail, and against samples with a wrong split of the misses.
Test(operator_status, shows_state_and_samples)
{
    fixture f;
    f.chat();
    f.clock.advance(std::chrono::seconds(100));
    f.dispatcher.tick();
    controllers::entry_status status;
    status.draining = true;
    status.queues = f.dispatcher.queues();
    const controllers::operator_status page([&status] { return status; }, f.statistics);
    const auto get = [&page](const std::string& path) {
        fake_response_stream response;
        cr_assert(page.handle({"GET", path, {}, {}}, response));
        return response.head->status == 200 ? response.body : "not ready";
    };
    cr_assert(get("/healthz") == "ok\n" && get("/readyz") == "not ready");
    cr_assert(json::parse(get("/v1/status"))["draining"] == true);
    const auto samples = json::parse(get("/v1/samples"))["samples"];
    cr_assert(samples.size() == 1 && samples[0]["total"] == 1);
    cr_assert(samples[0]["missed"]["unknown"] == 1 && samples[0]["within_target"] == 0);
    cr_assert(get("/metrics").find("result=\"missed_unknown\"} 1") != std::string::npos);
    fake_response_stream other;
    cr_assert(!page.handle({"GET", "/v1/resources", {}, {}}, other) && !other.head);
}
