#include "experts/rank_link.h"

#include <chrono>
#include <future>

#include <criterion/criterion.h>

#include "experts/fake_lockstep_engine.h"
#include "fakes/raw_socket.h"
#include "transport/http_server.h"

using namespace medlaryoke;
using namespace medlaryoke::experts;
using namespace std::chrono_literals;

// Guards against a step that runs with two maps: a report that is read from another instance is
// stale, so a rank that was armed in the meantime seemed not to be armed, and the hold was lifted.
Test(rank_link, reads_a_direct_report_only_after_the_lag)
{
    constexpr auto lag = 300ms;
    std::string closed_address;
    {
        const fakes::raw_listener closed;
        closed_address = closed.address();
    }
    transport::runtime context(1);
    const system_clock_source clock;
    auto owned = std::make_unique<fakes::fake_lockstep_engine>();
    const auto& engine = *owned;
    const auto link =
        std::make_shared<rank_link>(context, clock, closed_address, std::move(owned), lag);
    context.start();
    const auto send = [&link](const rank_request& request) {
        std::promise<rank_reply> promise;
        link->send(request, [&promise](rank_reply reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    };
    rank_request request;
    request.token = 1;
    request.order = policy::disarm_order{9};
    request.with_counts = true;
    cr_assert(send(request).result == policy::order_result::unanswered); // the agent is down
    const auto reply = send(request);
    cr_assert(reply.result == policy::order_result::done);
    cr_assert(reply.report.has_value());
    cr_assert(engine.report_delay() >= lag);
    cr_assert(!reply.counts && engine.counts_read == 0); // a remote read would pause the group
    context.stop();
}

// Guards against a group that stays held while its agents are of an earlier version: their reports
// do not name the rank, so no coordinator could lift the hold.
Test(rank_link, bypasses_an_agent_whose_reports_do_not_name_the_rank)
{
    transport::runtime context(1);
    const system_clock_source clock;
    const transport::http_server agent(
        context, {.address = "127.0.0.1:0"},
        [](const transport::http_request&,
           const std::shared_ptr<transport::response_stream>& response) {
            rank_reply reply;
            reply.report.emplace();
            response->respond({{200, {}}, encode_rank_reply(reply)});
        });
    const auto link = std::make_shared<rank_link>(
        context, clock, agent.address(), std::make_unique<fakes::fake_lockstep_engine>(), 10ms);
    context.start();
    const auto send = [&link] {
        std::promise<rank_reply> promise;
        link->send({}, [&promise](rank_reply reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    };
    cr_assert(send().result == policy::order_result::unanswered);
    const auto reply = send();
    cr_assert(reply.report && reply.report->size == 16 && link->is_agent_unresponsive());
    context.stop();
    context.wait();
}
