#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "StandIns/caller_load.h"
#include "StandIns/engine_standin.h"
#include "StandIns/platform_standin.h"
#include "StandIns/service_standin.h"
#include "transport/error_response.h"
#include "transport/http_pair.h"
#include "transport/log_client.h"

using namespace medlaryoke;
using namespace medlaryoke::standins;
using namespace medlaryoke::transport;
using nlohmann::json;

namespace {

/// A running stand-in and a client of it.
template <typename Standin, typename Options>
struct standin_setup {
    explicit standin_setup(Options options = {})
        : standin(context, std::move(options)), client(context, standin.address())
    {
        context.start();
    }
    standin_setup(const standin_setup&) = delete;
    standin_setup& operator=(const standin_setup&) = delete;
    standin_setup(standin_setup&&) = delete;
    standin_setup& operator=(standin_setup&&) = delete;
    ~standin_setup() { context.stop(); }

    http_response request(const std::string& method, const std::string& target,
                          const json& body = {})
    {
        return reply(client, {method, target, {}, body.is_null() ? "" : body.dump()});
    }

    json get(const std::string& target) { return json::parse(this->request("GET", target).body); }

    runtime context{2};
    Standin standin;
    http_client client;
};

using engine_setup = standin_setup<engine_standin, engine_options>;

engine_options fast_engine()
{
    engine_options options;
    options.step_time = std::chrono::milliseconds(1);
    return options;
}

json chat(const std::string& text, int tokens, int priority = 0)
{
    return {{"messages", json::array({{{"role", "user"}, {"content", text}}})},
            {"max_tokens", tokens},
            {"priority", priority}};
}

/// Runs caller_load for one class and waits for the summary of that class.
json run_load(runtime& context, const std::string& address, bool direct, const json& workload)
{
    caller_load_options options;
    options.addresses = {address};
    options.direct = direct;
    options.classes = parse_workload({{"classes", json::array({workload})}});
    options.run_time = std::chrono::milliseconds(300);
    std::promise<json> done;
    caller_load load(context, options);
    load.start([&done](json summary) { done.set_value(std::move(summary)); });
    return done.get_future().get()["classes"][options.classes.front().name];
}

} // namespace

// Guards against latencies measured on incomplete or wrong answers, with and without streaming.
Test(engine_standin, sends_complete_answers_to_every_caller)
{
    engine_setup engine(fast_engine());
    for (const bool stream : {true, false}) {
        const auto result = run_load(engine.context, engine.standin.address(), true,
                                     {{"name", "c"}, {"concurrency", 20}, {"stream", stream}});
        cr_assert(result["sent"] > 0);
        cr_assert(result["outcomes"] == json({{"answered", result["sent"]}}));
    }
}

// Guards against a queue that ignores priorities, and against a cancelled request that keeps its
// slot.
Test(engine_standin, admits_by_priority_and_frees_cancelled_slots)
{
    auto options = fast_engine();
    options.slots = 1;
    engine_setup engine(options);
    constexpr int endless_tokens = 4096;
    const auto start = [&engine](const std::string& id, int tokens, int priority,
                                 const std::function<void()>& done) {
        engine.client.fetch({"POST",
                             "/v1/chat/completions",
                             {{"X-Request-Id", id}},
                             chat(id, tokens, priority).dump()},
                            {}, [done](const fetch_result&) { done(); });
        while (engine.get("/control/stats")["received"] < (id == "first" ? 1 : 2)) {
        }
    };
    std::mutex mutex;
    std::vector<std::string> order;
    std::promise<void> all_ended;
    const auto record_end = [&](const std::string& id) {
        return [&, id] {
            const std::scoped_lock lock(mutex);
            order.push_back(id);
            if (order.size() == 3) {
                all_ended.set_value();
            }
        };
    };
    start("first", endless_tokens, 5, record_end("first"));
    start("batch", 1, 2, record_end("batch"));
    while (engine.get("/control/stats")["queued"] != 1) {
    }
    start("urgent", 1, 0, record_end("urgent"));
    while (engine.get("/control/stats")["queued"] != 2) {
    }
    cr_assert(engine.request("POST", "/cancel/first").body == R"({"cancelled":true})");
    all_ended.get_future().get();
    cr_assert(order == std::vector<std::string>({"first", "urgent", "batch"}));
    cr_assert(engine.request("POST", "/cancel/first").body == R"({"cancelled":false})");
}

// Guards against a prefix cache without hits, without evictions or without events.
Test(engine_standin, caches_prefixes_and_reports_cache_events)
{
    auto options = fast_engine();
    options.cache_blocks = 4;
    engine_setup engine(options);
    const std::string prefix(187, 'p'); // three blocks, together with the role
    engine.request("POST", "/v1/chat/completions", chat(prefix + "a", 1));
    cr_assert(engine.get("/control/stats")["cached_tokens"] == 0);
    engine.request("POST", "/v1/chat/completions", chat(prefix + "b", 1));
    cr_assert(engine.get("/control/stats")["cached_tokens"] == 48);
    engine.request("POST", "/v1/chat/completions", chat(std::string(187, 'q'), 1));
    const auto events = engine.get("/cache-events?from=4")["events"];
    cr_assert(events.size() == 5); // three stored and two evicted
    cr_assert(events[0]["sequence"] == 4 && events[0]["type"] == "stored");
    cr_assert(events[4]["sequence"] == 8 && events[4]["type"] == "evicted");
}

// Guards against fences that are not checked, or are checked by an engine that should ignore them.
Test(engine_standin, checks_fences_if_enabled)
{
    for (const bool checks_fences : {true, false}) {
        auto options = fast_engine();
        options.checks_fences = checks_fences;
        engine_setup engine(options);
        json order{{"action", "load_model"}, {"argument", "m"}, {"fence", 7}};
        cr_assert(engine.request("POST", "/orders", order).head.status == 200);
        order["fence"] = 6;
        cr_assert(engine.request("POST", "/orders", order).head.status ==
                  (checks_fences ? 409 : 200));
        cr_assert(engine.get("/control/orders")["orders"].size() == (checks_fences ? 1 : 2));
    }
}

// Guards against engine faults that caller_load does not report as outcomes.
Test(caller_load, reports_broken_and_refused_answers)
{
    engine_setup engine(fast_engine());
    engine.request("PUT", "/control/faults", {{"break_after_tokens", 3}});
    const json workload{{"name", "c"}, {"concurrency", 2}};
    auto result = run_load(engine.context, engine.standin.address(), true, workload);
    cr_assert(result["outcomes"] == json({{"broken", result["sent"]}}));
    engine.request("PUT", "/control/faults", {{"break_after_tokens", 0}, {"fail_status", 429}});
    result = run_load(engine.context, engine.standin.address(), true, workload);
    cr_assert(result["outcomes"] == json({{"status_429", result["sent"]}}));
}

// Guards against a caller_load that never fetches addresses from an entry, and against one that
// accepts refused calls, replies without an outcome or wrong answers.
Test(caller_load, fetches_addresses_and_checks_answers)
{
    std::string address;
    std::atomic<int> asked = 0;
    http_pair entry([&](const http_request& request, const std::shared_ptr<response_stream>& out) {
        if (request.target == "/v1/entries") {
            ++asked;
            const json body{{"entries", json::array({{{"address", address}}})}, {"ttl_ms", 1}};
            out->respond(make_json_response(200, body.dump()));
            return;
        }
        // The path /refused is refused; other calls get no outcome, and chats a wrong answer.
        const bool refused = request.target == "/v1/services/desk/refused";
        const json body{{"body_digest", to_string(hash128(request.body))}};
        auto response = make_json_response(refused ? 503 : 200, body.dump());
        if (refused) {
            response.head.headers.push_back({"Medlaryoke-Outcome", "not-run"});
        }
        out->respond(std::move(response));
    });
    address = entry.server.address();
    json call{{"name", "c"}, {"kind", "service"}, {"service", "desk"}, {"path", "/refused"}};
    auto result = run_load(entry.context, address, false, call);
    cr_assert(result["outcomes"] == json({{"not-run", result["sent"]}}));
    call["path"] = "/silent";
    result = run_load(entry.context, address, false, call);
    cr_assert(result["outcomes"] == json({{"no_outcome", result["sent"]}}));
    result = run_load(entry.context, address, false, {{"name", "c"}});
    cr_assert(result["outcomes"] == json({{"wrong_answer", result["sent"]}}));
    cr_assert(asked > 2);
}

// Guards against runs of a call that are not counted because the call got no answer.
Test(service_standin, counts_runs_without_an_answer)
{
    standin_setup<service_standin, service_options> service;
    const http_request call{"POST", "/pay", {{"Idempotency-Key", "k"}}, "x"};
    service.request("PUT", "/control/faults", {{"close_before_answer", 1}});
    cr_assert(failure(service.client, call).maybe_sent);
    cr_assert(json::parse(reply(service.client, call).body)["run"] == 2);
    cr_assert(service.get("/control/runs")["runs"]["k"] == 2);
}

// Guards against an instance list that changes without its lag, and an unenforced append rate
// limit.
Test(platform_standin, enforces_list_lag_and_append_rate)
{
    platform_options options;
    options.instance_list_lag = std::chrono::hours(1);
    options.appends_per_second = 0.001;
    standin_setup<platform_standin, platform_options> platform(options);
    const json list{{"instances", json::array({{{"instance", "a"}}})}};
    platform.request("PUT", "/control/instances", list);
    cr_assert(platform.get("/instances")["instances"].empty());
    platform.request("PUT", "/control/faults", {{"list_lag_ms", 0}});
    cr_assert(platform.get("/instances") == list);
    cr_assert(platform.request("POST", "/streams/s/records").head.status == 200);
    cr_assert(platform.request("POST", "/streams/s/records").head.status == 429);
    cr_assert(platform.get("/control/stats") == json({{"appended", 1}, {"rejected", 1}}));
    cr_assert(platform.request("GET", "/weights/m/0/1").body.size() == options.weight_bytes);
}

// Guards against a restore of the stand-in log that keeps young records, does not give out their
// offsets again, or is not stated to its readers.
Test(platform_standin, restores_its_log_from_an_older_copy)
{
    standin_setup<platform_standin, platform_options> site;
    log_client log(site.context, site.standin.address(), std::chrono::seconds(2));
    const auto append = [&log](const std::string& data) {
        std::promise<append_result> result;
        log.append("s", data, [&result](auto it) { result.set_value(std::move(it)); });
        return std::get<append_done>(result.get_future().get());
    };
    const auto read_from = [&log](std::uint64_t from) {
        std::promise<read_result> result;
        log.read("s", from, 10, {}, [&result](auto it) { result.set_value(std::move(it)); });
        return result.get_future().get();
    };
    append("old");
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    cr_assert(append("young").offset == 2);
    site.request("PUT", "/control/restore", {{"age_ms", 200}});
    const auto beyond_end = read_from(3);
    cr_assert(std::get<read_expired>(beyond_end).epoch == 1);
    const auto again = append("new");
    cr_assert(again.offset == 2 && again.epoch == 1);
    const auto all = read_from(1);
    const auto& found = std::get<read_records>(all);
    cr_assert(found.epoch == 1 && found.records.size() == 2 && found.records[1].data == "new");
}
