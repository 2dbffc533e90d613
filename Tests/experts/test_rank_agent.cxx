#include "experts/rank_agent.h"

#include <future>

#include <criterion/criterion.h>

#include "experts/fake_lockstep_engine.h"
#include "experts/rank_link.h"

using namespace medlaryoke;
using namespace medlaryoke::experts;

namespace {

/// An agent with a fake engine, and a coordinator's link to the agent.
struct agent_fixture {
    agent_fixture()
        : agent(context, "127.0.0.1:0", engine),
          link(std::make_shared<rank_link>(context, clock, agent.address(),
                                           std::make_unique<fakes::fake_lockstep_engine>(),
                                           std::chrono::milliseconds(300)))
    {
        context.start();
    }
    agent_fixture(const agent_fixture&) = delete;
    agent_fixture& operator=(const agent_fixture&) = delete;
    agent_fixture(agent_fixture&&) = delete;
    agent_fixture& operator=(agent_fixture&&) = delete;
    ~agent_fixture() { context.stop(); }

    rank_reply send(const rank_request& request)
    {
        std::promise<rank_reply> promise;
        this->link->send(request,
                         [&promise](rank_reply reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }

    system_clock_source clock;
    transport::runtime context{1};
    fakes::fake_lockstep_engine engine;
    rank_agent agent;
    std::shared_ptr<rank_link> link;
};

} // namespace

// Guards against orders or readings that are altered or lost between coordinator and engine.
Test(rank_agent, forwards_orders_and_returns_readings)
{
    agent_fixture fixture;
    rank_request request;
    request.token = 5;
    request.order = policy::prepare_order{{4, {{{0, 2}, {1}}}}};
    request.with_counts = true;
    request.with_experts = true;
    const auto reply = fixture.send(request);
    cr_assert(reply.result == policy::order_result::done);
    cr_assert(reply.report->step == 7);
    cr_assert(reply.report->group == "g" && reply.report->rank == 2 && reply.report->size == 16);
    cr_assert(reply.counts == std::vector<std::uint64_t>({1, 2, 3}));
    cr_assert(reply.experts->version == 4);
    cr_assert(reply.experts->sets == std::vector<std::vector<unsigned>>({{0, 2}, {1}}));
}

// Guards against orders of a replaced coordinator that still reach an engine.
Test(rank_agent, refuses_orders_of_a_replaced_coordinator)
{
    agent_fixture fixture;
    rank_request request;
    request.order = policy::release_hold_order{3};
    for (const std::uint64_t token : {5, 6, 5}) {
        request.token = token;
        const auto reply = fixture.send(request);
        cr_assert((reply.result == policy::order_result::fenced) ==
                  (fixture.engine.tokens().size() == 2 && token == 5));
    }
    cr_assert(fixture.engine.tokens() == std::vector<std::uint64_t>({5, 6}));
}
