#include "gateway/gateway_fixture.h"

#include <chrono>
#include <thread>
#include <utility>

namespace medlaryoke::gateway {

using namespace std::chrono_literals;

namespace {

caller_protocol test_protocol()
{
    caller_protocol names;
    names.request_id = "X-Id";
    names.deadline = "X-Deadline";
    names.organisation = "X-Organisation";
    names.expected_upstream = "X-Upstream";
    names.priority = "X-Priority";
    names.token_usage = "X-Tokens";
    names.prompt_parts = "X-Parts";
    names.model = "X-Model";
    names.signature = "X-Signature";
    names.not_run = "X-Not-Run";
    names.rate_limit = "X-Limit";
    names.leaving = "X-Leaving";
    names.last_event_id = "Last-Event-Id";
    return names;
}

model::route make_route(const std::string& name, model::repeat_rule repeat)
{
    model::route route;
    route.name = name;
    route.host = "desk.example";
    route.path_prefix = "/" + name + "/";
    route.repeat = repeat;
    route.timeout = 2s;
    route.target_latency = 500ms;
    route.max_attempts = 2;
    route.services.push_back({"desk", 1});
    return route;
}

} // namespace

gateway_fixture::gateway_fixture(unsigned upstream_count)
{
    config.version = 1;
    config.routes = {make_route("safe", model::repeat_rule::safe),
                     make_route("unsafe", model::repeat_rule::unsafe),
                     make_route("stream", model::repeat_rule::resumable),
                     make_route("public", model::repeat_rule::safe)};
    config.routes[1].max_attempts = 1;
    config.routes[2].is_stream = true;
    config.routes[3].is_public = true;
    config.has_organisations = true;
    config.organisations_by_key["key-1"] = {"org-1", std::nullopt};
    active_state =
        std::make_unique<config_state>([this](std::string_view) { return this->config; });
    gateway_options options;
    options.protocol = test_protocol();
    options.data_centre = "dc-1";
    options.retry_budget = {0.2, 100, 10s};
    options.seed = 1;
    options.quarantine.decision_delay = 600ms;
    options.quarantine.test_delay = 1s;
    tested_gateway = std::make_unique<gateway>(context, clock, options, *active_state);
    server = std::make_unique<transport::http_server>(
        context, transport::http_server_options{.address = "127.0.0.1:0"},
        [this](const transport::http_request& request,
               const std::shared_ptr<transport::response_stream>& response) {
            tested_gateway->handle(request, response);
        });
    std::vector<model::upstream_entry> entries;
    for (unsigned n = 0; n < upstream_count; ++n) {
        upstreams.push_back(std::make_unique<fakes::raw_listener>());
        model::upstream_entry entry;
        entry.id = "u" + std::to_string(n);
        entry.service = "desk";
        entry.address = upstreams.back()->address();
        entry.data_centre = "dc-1";
        entry.slots = 4;
        entries.push_back(entry);
    }
    context.start();
    this->run_on_gateway([this, entries] { tested_gateway->set_upstreams(entries); });
    this->run_on_gateway([this] { this->tick(); });
}

gateway_fixture::~gateway_fixture()
{
    context.stop();
    context.wait();
}

void gateway_fixture::configure()
{
    this->run_on_gateway([this] {
        active_state->apply("record", "test");
        tested_gateway->apply_config();
    });
}

fakes::raw_connection gateway_fixture::call(const std::string& path,
                                            const std::string& headers) const
{
    fakes::raw_connection caller(server->address());
    caller.send("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Id: r-1\r\n" + headers +
                "\r\n");
    return caller;
}

std::size_t gateway_fixture::wait_for_upstream() const
{
    for (;;) {
        for (std::size_t n = 0; n < upstreams.size(); ++n) {
            if (upstreams[n]->has_pending()) {
                return n;
            }
        }
        std::this_thread::sleep_for(1ms);
    }
}

void gateway_fixture::run_on_gateway(std::function<void()> fn)
{
    std::promise<void> done;
    context.post([&fn, &done] {
        fn();
        done.set_value();
    });
    done.get_future().wait();
}

void gateway_fixture::tick()
{
    tested_gateway->tick();
    context.after(10ms, [this] { this->tick(); });
}

std::string signed_response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace medlaryoke::gateway
