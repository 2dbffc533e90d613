#include "controllers/agent_link.h"

#include <future>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "controllers/agent_server.h"
#include "controllers/agent_session.h"
#include "controllers/upstream_runner.h"
#include "fakes/tcp_proxy.h"
#include "transport/http_server.h"
#include "transport/message_channel.h"

using namespace medlaryoke;
using namespace medlaryoke::controllers;
using namespace std::chrono_literals;

namespace {

/// Answers every claim as unavailable; the tests send only idempotent requests.
struct rejecting_claim_service final : claim_service {
    void claim(const wire::dispatch&, std::function<void(const claim_answer&)> done) override
    {
        done({});
    }
    void complete(const claim_ticket&, completed_answer) override {}
    void release(const claim_ticket&, std::function<void()> done) override { done(); }
    [[nodiscard]] std::size_t pending() const override { return 0; }
};

using received_call =
    std::pair<transport::http_request, std::shared_ptr<transport::response_stream>>;

/// An entry's link with an agent and the agent's HTTP engine, over sockets. The link passes through
/// a proxy that can silence its connections.
struct linked_agent {
    explicit linked_agent(const std::string& engine_address = "")
        : engine(context, {.address = "127.0.0.1:0"},
                 [this](transport::http_request request,
                        std::shared_ptr<transport::response_stream> response) {
                     this->call.set_value({std::move(request), std::move(response)});
                 }),
          runner(context, {.address = engine_address.empty() ? engine.address() : engine_address,
                           .between_bytes_timeout =
                               5min}), // a call that is not cancelled must not end by a timeout
          server(std::make_shared<agent_server>(
              clock,
              agent_server_options{.incarnation = 5,
                                   .instance = "agent",
                                   .data_centre = "a",
                                   .serves = "model",
                                   .admission = {}},
              agent_server_ports{
                  .send =
                      [this](const auto& connection, const wire::frame& frame) {
                          this->channel.send(connection, frame);
                      },
                  .config_offset = [] { return std::uint64_t{0}; },
                  .config_records_from = [](std::uint64_t) { return wire::config_records{}; },
                  .apply_config_records = [](const wire::config_records&) {},
                  .on_other_frame = {}},
              runner, claims)),
          channel(context, "127.0.0.1:0",
                  {[this](const auto& connection, const wire::frame& frame) {
                      this->server->on_frame(connection, frame);
                  }}),
          proxy(channel.address())
    {
        this->send_heartbeats();
        this->context.start();
        this->link = std::make_unique<agent_link>(this->context, this->clock,
                                                  agent_link_options{.upstream = "u",
                                                                     .address = proxy.address(),
                                                                     .instance = "entry",
                                                                     .data_centre = "a",
                                                                     .entry_incarnation = 7},
                                                  agent_link_events{});
        while (!this->link->view().connected) {
            std::this_thread::sleep_for(1ms);
        }
    }

    linked_agent(const linked_agent&) = delete;
    linked_agent& operator=(const linked_agent&) = delete;
    linked_agent(linked_agent&&) = delete;
    linked_agent& operator=(linked_agent&&) = delete;
    ~linked_agent()
    {
        this->context.stop();
        this->context.wait();
    }

    void send_heartbeats()
    {
        this->context.after(heartbeat_interval, [this] {
            this->server->send_heartbeats();
            this->send_heartbeats();
        });
    }

    std::uint64_t dispatch()
    {
        wire::dispatch request;
        request.set_service("model");
        request.set_body(R"({"model":"m","stream":true})");
        request.set_priority(2);
        request.set_request_id("req-1");
        request.set_idempotent(true);
        return this->link->dispatch(request, this->clock.now() + 60s,
                                    {.on_head = {},
                                     .on_data =
                                         [this](const std::string& part) {
                                             if (this->data.empty()) {
                                                 this->first_data.set_value();
                                             }
                                             this->data += part;
                                         },
                                     .on_finished = [this] { this->end.set_value("finished"); },
                                     .on_refused =
                                         [this](wire::refusal_reason reason, const std::string&) {
                                             this->end.set_value("refused " +
                                                                 std::to_string(reason));
                                         },
                                     .on_unknown =
                                         [this](const std::string& message) {
                                             this->end.set_value("unknown: " + message);
                                         }});
    }

    system_clock_source clock;
    std::promise<received_call> call;
    std::promise<void> first_data;
    std::promise<std::string> end;
    std::string data;
    rejecting_claim_service claims;
    transport::runtime context{3};
    transport::http_server engine;
    upstream_runner runner;
    std::shared_ptr<agent_server> server;
    transport::message_server channel;
    fakes::tcp_proxy proxy;
    std::unique_ptr<agent_link> link;
};

} // namespace

// Guards against a stream that is cut off when its connection goes silent without being closed
// (P2), and against requests that reach the engine without their priority.
Test(agent_link, stream_outlives_a_silent_connection)
{
    linked_agent agent;
    agent.dispatch();
    const auto [request, response] = agent.call.get_future().get();
    cr_assert_str_eq(request.target.c_str(), "/v1/chat/completions");
    cr_assert_str_eq(request.body.c_str(), R"({"model":"m","priority":2,"stream":true})");
    cr_assert(transport::find_header(request.headers, "Medlaryoke-Request-Id") == "req-1");
    response->start({.status = 200, .headers = {}});
    response->write("one ");
    agent.first_data.get_future().wait();
    agent.proxy.silence_open_connections();
    response->write("two ");
    response->write("three");
    response->finish();
    const auto end = agent.end.get_future().get();
    cr_assert(end == "finished", "%s", end.c_str());
    cr_assert_str_eq(agent.data.c_str(), "one two three");
    cr_assert_geq(agent.proxy.opened(), 2U);
}

// Guards against an engine that goes on generating an answer after its caller cancelled the
// request.
Test(agent_link, cancel_reaches_the_engine)
{
    linked_agent agent;
    const auto id = agent.dispatch();
    const auto response = agent.call.get_future().get().second;
    std::promise<void> closed;
    response->on_closed([&closed] { closed.set_value(); });
    response->start({.status = 200, .headers = {}});
    agent.link->cancel(id);
    closed.get_future().wait();
    cr_assert_eq(agent.link->in_flight(), 0);
}

// Guards against the outcome "unknown" for a request that certainly did not reach the engine.
Test(agent_link, unreachable_engine_is_a_refusal)
{
    std::string address;
    {
        transport::runtime context(1);
        address = transport::http_server(context, {.address = "127.0.0.1:0"}, {}).address();
    }
    linked_agent agent(address);
    agent.dispatch();
    const auto end = agent.end.get_future().get();
    std::promise<bool> probed;
    agent.runner.probe([&probed](bool up) { probed.set_value(up); });
    cr_assert(!probed.get_future().get());
    cr_assert(!agent.server->counts().load.upstream_up());
    cr_assert(end == "refused " + std::to_string(wire::REFUSAL_REASON_UPSTREAM_DOWN), "%s",
              end.c_str());
}
