#include "controllers/resource_api.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "controllers/config_feed.h"
#include "fakes/fake_log.h"
#include "fakes/fake_response_stream.h"
#include "fakes/manual_time.h"

using namespace std::chrono_literals;
using namespace medlaryoke;
using nlohmann::json;

namespace {

const std::string group_spec = R"({"model":"m","ranks":2})";

/// The resource interface of an entry, with a log in memory.
struct operator_fixture {
    operator_fixture() { feed.start(); }

    std::shared_ptr<fakes::fake_response_stream>
    send(const std::string& method, const std::string& target, const std::string& body = "",
         const std::string& version = "", const std::string& author = "anna")
    {
        transport::http_request request{method, target, {{"Medlaryoke-Author", author}}, body};
        if (!version.empty()) {
            request.headers.push_back({"If-Match", version});
        }
        auto response = std::make_shared<fakes::fake_response_stream>();
        cr_assert(this->api.handle(request, response));
        this->time.run_for(1s);
        return response;
    }

    fakes::manual_time time;
    fakes::fake_log log{time};
    controllers::config_store store;
    controllers::config_feed feed{log, store, time.timer()};
    controllers::config_writer writer{log, store, time.clock, time.timer()};
    std::uint64_t confirmed_offset = 0;
    controllers::resource_api api{store, writer, [this] { return this->confirmed_offset; },
                                  time.clock, time.timer()};
};

unsigned status_of(const std::shared_ptr<fakes::fake_response_stream>& response)
{
    const auto& head = response->head;
    return head ? head->status : 0;
}

/// Checks that a response is a typed error with a status.
/// @return the message of the error
std::string expect_error(const std::shared_ptr<fakes::fake_response_stream>& response,
                         unsigned status)
{
    cr_assert(status_of(response) == status, "status %u: %s", status_of(response),
              response->body.c_str());
    const auto body = json::parse(response->body);
    cr_assert(!body.at("error").at("remedy").get<std::string>().empty());
    return body.at("error").at("message");
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against an accepted change that is not stored, and against a change that is reported as
// in force before all processes have confirmed it.
Test(resource_api, resource_can_be_written_read_listed_and_deleted)
{
    operator_fixture it;
    const std::string path = "/v1/resources/model_group/g";
    const auto put = it.send("PUT", path, group_spec, "0");
    cr_assert(status_of(put) == 200);
    cr_assert(json::parse(put->body).at("version") == 1);
    cr_assert(json::parse(put->body).at("in_force") == false);
    const auto got = json::parse(it.send("GET", path)->body);
    cr_assert(got.at("version") == 1 && got.at("author") == "anna" &&
              got.at("spec").at("ranks") == 2);
    it.confirmed_offset = 2;
    const auto second = it.send("PUT", path, group_spec, "\"1\"");
    cr_assert(json::parse(second->body).at("in_force") == true);
    const auto list = json::parse(it.send("GET", "/v1/resources")->body);
    cr_assert(list.at("offset") == 2 && list.at("confirmed_offset") == 2 &&
              list.at("resources").size() == 1);
    cr_assert(json::parse(it.send("GET", "/v1/resources/upstream")->body).at("resources").empty());
    cr_assert(status_of(it.send("DELETE", path, "", "2")) == 200);
    expect_error(it.send("GET", path), 404);
    cr_assert(json::parse(it.send("GET", "/v1/config")->body).at("offset") == 3);
}

// Guards against a lost update: the second writer must get a conflict that names the current
// version and its author.
Test(resource_api, conflict_names_current_version_and_author)
{
    operator_fixture it;
    const std::string path = "/v1/resources/model_group/g";
    it.send("PUT", path, group_spec, "0", "anna");
    const auto second = it.send("PUT", path, group_spec, "0", "juma");
    const auto message = expect_error(second, 409);
    cr_assert(contains(message, "version 1") && contains(message, "anna"), "%s", message.c_str());
    const auto head = second->head.value_or(transport::http_head{});
    cr_assert(transport::find_header(head.headers, "ETag") == "\"1\"");
    cr_assert(it.log.records().size() == 1);
}

// Guards against a change of several resources that is applied only in part when one item is
// invalid.
Test(resource_api, change_of_several_resources_is_atomic)
{
    operator_fixture it;
    json body{{"author", "anna"}, {"items", json::array()}};
    body["items"].push_back({{"kind", "model_group"},
                             {"name", "g"},
                             {"expected_version", 0},
                             {"spec", json::parse(group_spec)}});
    body["items"].push_back({{"kind", "upstream"},
                             {"name", "e"},
                             {"expected_version", 0},
                             {"spec",
                              {{"type", "engine"},
                               {"serves", "other"},
                               {"agent", "127.0.0.1:1"},
                               {"data_centre", "d"}}}});
    const auto message = expect_error(it.send("POST", "/v1/changes", body.dump()), 400);
    cr_assert(contains(message, "\"e\"") && contains(message, "other"), "%s", message.c_str());
    cr_assert(it.store.view()->model_groups.empty());
    body["items"][1]["spec"]["serves"] = "g";
    cr_assert(status_of(it.send("POST", "/v1/changes", body.dump())) == 200);
    cr_assert(it.store.view()->upstreams.size() == 1);
}

// Guards against invalid requests that are accepted or that get a response without a typed error.
Test(resource_api, refuses_invalid_requests)
{
    operator_fixture it;
    const std::string path = "/v1/resources/model_group/g";
    expect_error(it.send("PUT", path, group_spec), 400);
    expect_error(it.send("PUT", path, group_spec, "one"), 400);
    expect_error(it.send("PUT", path, "{", "0"), 400);
    expect_error(it.send("PUT", path, R"({"model":"m","rank":2})", "0"), 400);
    expect_error(it.send("PUT", path + "%20", group_spec, "0"), 400);
    expect_error(it.send("PUT", path, group_spec, "0", "\xff\x01"), 400);
    expect_error(it.send("PATCH", path, group_spec, "0"), 400);
    expect_error(it.send("PUT", "/v1/resources/other/g", group_spec, "0"), 404);
    expect_error(it.send("GET", "/v1/watch?since=1"), 400);
    expect_error(it.send("POST", "/v1/changes", "[]"), 400);
    expect_error(it.send("DELETE", path, "", "5"), 409);
    it.log.outage = true;
    cr_assert(contains(expect_error(it.send("PUT", path, group_spec, "0"), 503), "not accepted"));
    cr_assert(it.log.records().empty());
    const auto response = std::make_shared<fakes::fake_response_stream>();
    cr_assert(!it.api.handle({"GET", "/v1/status", {}, ""}, response));
}

// Guards against a watch that misses an event or repeats one when a client resumes from a version.
Test(resource_api, watch_resumes_from_version)
{
    operator_fixture it;
    const std::string path = "/v1/resources/model_group/";
    it.send("PUT", path + "a", group_spec, "0");
    it.send("PUT", path + "b", group_spec, "0");
    const auto all = it.send("GET", "/v1/watch");
    const auto resumed = it.send("GET", "/v1/watch?from=1");
    cr_assert(contains(all->body, "\"a\"") && contains(all->body, "\"b\""));
    cr_assert(!contains(resumed->body, "\"a\"") &&
              contains(resumed->body, "id: 2\nevent: change\n"));
    const auto previous_size = resumed->body.size();
    it.send("DELETE", path + "a", "", "1");
    it.confirmed_offset = 3;
    it.time.run_for(1s);
    const auto new_events = resumed->body.substr(previous_size);
    cr_assert(contains(new_events, "id: 3\nevent: deletion\n") && !contains(new_events, "\"b\""));
    cr_assert(contains(new_events, "event: in_force\ndata: {\"version\":3}"));
    it.time.run_for(10s);
    cr_assert(contains(resumed->body, ": idle"));
    resumed->closed();
    const auto size_when_closed = resumed->body.size();
    it.send("PUT", path + "c", group_spec, "0");
    cr_assert(resumed->body.size() == size_when_closed);
    cr_assert(contains(all->body, "\"c\""));
}

// Guards against unbounded memory use by a client that does not read its events.
Test(resource_api, connection_of_slow_watch_is_aborted)
{
    operator_fixture it;
    const auto watch = it.send("GET", "/v1/watch");
    watch->unsent_bytes = 100U * 1024U * 1024U;
    it.send("PUT", "/v1/resources/model_group/a", group_spec, "0");
    cr_assert(watch->aborted);
}

// Guards against request bodies that terminate the process: a response to a mutated change is
// either a success or a typed error.
Test(resource_api, handles_randomly_mutated_bodies)
{
    operator_fixture it;
    std::mt19937 random(20261204);
    const std::string valid_body =
        R"({"author":"anna","operation_id":"op-1","items":[{"kind":"model_group","name":"g",)"
        R"("expected_version":0,"spec":{"model":"m","ranks":2}}]})";
    for (int round = 0; round < 3000; ++round) {
        auto body = valid_body;
        for (auto n = 1 + random() % 3; n > 0; --n) {
            static constexpr std::string_view alphabet = "{}[]\":,0-a\xff\x01";
            body[random() % body.size()] = alphabet[random() % alphabet.size()];
        }
        const auto response = std::make_shared<fakes::fake_response_stream>();
        it.api.handle({"POST", "/v1/changes", {}, body}, response);
        it.time.run_for(20ms);
        if (status_of(response) != 200) {
            cr_assert(json::parse(response->body).at("error").contains("kind"));
        }
    }
}
