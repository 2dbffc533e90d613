#include "controllers/request_dispatcher.h"

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "fakes/fake_response_stream.h"
#include "fakes/fake_upstream_link.h"

using namespace medlaryoke;
using namespace std::chrono_literals;
using fakes::fake_response_stream;
using fakes::fake_upstream_link;

namespace {

class recording_observer final : public controllers::request_observer {
public:
    void on_request_ended(const controllers::request_record& record) override
    {
        this->records.push_back(record);
    }

    std::vector<controllers::request_record> records;
};

/// A dispatcher for the group `assistant` with two upstreams.
struct fixture {
    fixture() { this->set_upstreams_of_group(); }

    void set_upstreams_of_group(bool first_leaving = false)
    {
        this->dispatcher.set_upstreams(
            "assistant", {{"engine-1", this->first, first_leaving}, {"engine-2", this->second}});
    }

    std::shared_ptr<fake_response_stream> submit(bool idempotent = true, bool stream = false,
                                                 unsigned priority = 0)
    {
        controllers::work_request work;
        work.request_id = "req-" + std::to_string(++this->submitted);
        work.target = "assistant";
        work.stream = stream;
        work.idempotent = idempotent;
        work.priority_order = priority;
        work.idempotency_key = "key";
        work.deadline = this->clock.now() + 10s;
        work.first_token_target = 1s;
        auto response = std::make_shared<fake_response_stream>();
        this->dispatcher.submit(std::move(work), response);
        return response;
    }

    fake_upstream_link::call& call(std::size_t number)
    {
        std::vector<fake_upstream_link::call*> calls;
        for (auto& it : this->first->calls) {
            calls.push_back(&it);
        }
        for (auto& it : this->second->calls) {
            calls.push_back(&it);
        }
        cr_assert(calls.size() > number, "call %zu was not dispatched", number);
        return *calls[number];
    }

    std::size_t call_count() const
    {
        return this->first->calls.size() + this->second->calls.size();
    }

    void answer(std::size_t number, const std::string& body)
    {
        const auto events = this->call(number).events;
        events.on_head({200, {{"Content-Type", "application/json"}}});
        events.on_data(body);
        events.on_finished();
    }

    int submitted = 0;
    manual_clock clock;
    recording_observer observer;
    std::shared_ptr<fake_upstream_link> first = std::make_shared<fake_upstream_link>();
    std::shared_ptr<fake_upstream_link> second = std::make_shared<fake_upstream_link>();
    controllers::request_dispatcher dispatcher{clock, {}, observer};
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a complete answer that lacks the outcome in its header or body.
Test(request_dispatcher, answered_request)
{
    fixture f;
    const auto response = f.submit();
    f.answer(0, R"({"id":1})");
    cr_assert(response->finish_count == 1 && response->outcome() == "answered");
    cr_assert(response->body == R"({"outcome":"answered","id":1})", "%s", response->body.c_str());
    cr_assert(f.observer.records.size() == 1 && f.observer.records[0].within_target);
    cr_assert(f.dispatcher.open_requests() == 0);
}

// Guards against a stream that ends without an outcome event, and against partial events.
Test(request_dispatcher, streams_whole_events_and_closes_with_the_outcome)
{
    fixture f;
    const auto complete = f.submit(true, true);
    const auto broken = f.submit(true, true);
    for (const std::size_t n : {0U, 1U}) {
        f.call(n).events.on_head({200, {{"Content-Type", "text/event-stream"}}});
        f.call(n).events.on_data("data: a\n\ndata: b");
    }
    cr_assert(complete->outcome() == "streaming" && complete->body == "data: a\n\n");
    f.call(0).events.on_data("c\n\n");
    f.call(0).events.on_finished();
    f.call(1).events.on_unknown("the agent died");
    const auto& whole = complete->body.starts_with("data: a\n\ndata: bc") ? complete : broken;
    const auto& cut = whole == complete ? broken : complete;
    cr_assert(contains(whole->body, "event: outcome\ndata: {\"outcome\":\"answered\""));
    cr_assert(cut->body.starts_with("data: a\n\nevent: error\n"), "%s", cut->body.c_str());
    cr_assert(contains(cut->body, "event: outcome\ndata: {\"outcome\":\"unknown\""));
    cr_assert(f.call_count() == 2, "a stream that has begun must not be retried");
}

// Guards against many batch requests that fill all slots, so that urgent requests have to wait.
Test(request_dispatcher, last_slots_are_reserved_for_urgent_requests)
{
    fixture f;
    f.dispatcher.set_priorities({{.order = 0}, {.order = 2}});
    for (const auto& link : {f.first, f.second}) {
        link->state.load.set_limit(16);
        link->state.load.set_running(14);
    }
    f.submit(true, false, 2);
    cr_assert(f.call_count() == 0, "batch work took a reserved slot");
    f.submit(true, false, 0);
    cr_assert(f.call_count() == 1);
    f.first->state.load.set_running(2);
    f.dispatcher.on_capacity_available("assistant");
    cr_assert(f.call_count() == 2, "batch work waits although there is free capacity");
}

// Guards against answers that reach the wrong caller when they arrive out of order (P2).
Test(request_dispatcher, answers_out_of_order_reach_their_callers)
{
    fixture f;
    std::vector<std::shared_ptr<fake_response_stream>> responses;
    responses.reserve(8);
    for (int n = 0; n < 8; ++n) {
        responses.push_back(f.submit());
    }
    cr_assert(f.call_count() == 8);
    for (std::size_t n = 8; n-- > 0;) {
        f.answer(n, "for " + f.call(n).request.request_id());
    }
    for (std::size_t n = 0; n < 8; ++n) {
        cr_assert(responses[n]->body == "for req-" + std::to_string(n + 1));
    }
}

// Guards against a second run of a request that may have been run (P4).
Test(request_dispatcher, unknown_is_not_retried_unless_idempotent)
{
    fixture f;
    const auto response = f.submit(false);
    f.call(0).events.on_unknown("the agent died");
    cr_assert(f.call_count() == 1);
    cr_assert(response->finish_count == 1 && response->outcome() == "unknown");

    fixture second_fixture;
    second_fixture.second->state.connected = false;
    const auto repeatable = second_fixture.submit(true);
    second_fixture.call(0).events.on_unknown("the agent died");
    cr_assert(second_fixture.call_count() == 2 && repeatable->finish_count == 0);
}

// Guards against a refused request that is not retried at another agent, and against a retry at the
// same agent while another agent has free capacity.
Test(request_dispatcher, refused_request_is_retried_at_another_agent)
{
    fixture f;
    const auto response = f.submit(false);
    auto& used = f.first->calls.empty() ? f.second : f.first;
    auto& other = f.first->calls.empty() ? f.first : f.second;
    used->calls[0].events.on_refused(wire::REFUSAL_REASON_LEAVING, "leaving");
    cr_assert(other->calls.size() == 1 && used->calls.size() == 1);
    other->calls[0].events.on_head({204, {}});
    other->calls[0].events.on_finished();
    cr_assert(response->outcome() == "answered" && response->head->status == 204);
}

// Guards against final refusals that are retried or are reported with the wrong status.
Test(request_dispatcher, final_refusals_end_as_not_run)
{
    const std::vector<std::pair<wire::refusal_reason, unsigned>> cases{
        {wire::REFUSAL_REASON_KEY_CONFLICT, 409},
        {wire::REFUSAL_REASON_KEY_EXPIRED, 400},
        {wire::REFUSAL_REASON_CLAIM_UNAVAILABLE, 503},
        {wire::REFUSAL_REASON_DEADLINE, 504}};
    for (const auto& [reason, status] : cases) {
        fixture one;
        const auto response = one.submit(false);
        one.call(0).events.on_refused(reason, "refused");
        cr_assert(one.call_count() == 1);
        cr_assert(response->outcome() == "not-run" && response->head->status == status);
        cr_assert(contains(response->body, "\"outcome\":\"not-run\""));
        cr_assert(contains(response->body, "\"remedy\":\""));
    }
}

// Guards against the outcome not-run although an earlier attempt may have been run (P3).
Test(request_dispatcher, outcome_is_unknown_if_an_earlier_attempt_may_have_run)
{
    fixture f;
    f.second->state.connected = false;
    const auto response = f.submit(true);
    f.call(0).events.on_unknown("silent");
    f.call(1).events.on_refused(wire::REFUSAL_REASON_DEADLINE, "too late");
    cr_assert(response->finish_count == 1 && response->outcome() == "unknown");
}

// Guards against running a request whose deadline passed in the queue.
Test(request_dispatcher, request_expired_in_the_queue_is_not_run)
{
    fixture f;
    f.first->state.load.set_limit(0);
    f.second->state.load.set_limit(0);
    const auto response = f.submit();
    f.clock.advance(11s);
    f.dispatcher.tick();
    cr_assert(response->outcome() == "not-run" && response->head->status == 504);
    f.first->state.load.set_limit(4);
    f.dispatcher.on_capacity_available("assistant");
    cr_assert(f.call_count() == 0);

    const auto running = f.submit();
    f.clock.advance(11s);
    f.dispatcher.tick();
    cr_assert(running->outcome() == "unknown" && f.first->cancelled.size() == 1);
}

// Guards against requests of disconnected callers that stay in the queue or keep an engine slot.
Test(request_dispatcher, disconnect_cancels)
{
    fixture f;
    const auto running = f.submit();
    f.first->state.load.set_limit(0);
    f.second->state.load.set_limit(0);
    const auto waiting = f.submit();
    running->closed();
    waiting->closed();
    cr_assert(f.first->cancelled.size() + f.second->cancelled.size() == 1);
    cr_assert(f.dispatcher.open_requests() == 0);
    f.call(0).events.on_finished();
    cr_assert(f.observer.records.size() == 2 && f.observer.records[0].cancelled);
}

// Guards against a slow reader for which the entry buffers the whole answer.
Test(request_dispatcher, slow_reader_is_disconnected)
{
    fixture f;
    const auto response = f.submit(true, true);
    response->unsent_bytes = 2U * 1024U * 1024U;
    f.call(0).events.on_head({200, {}});
    f.call(0).events.on_data("data: a\n\n");
    cr_assert(response->aborted && f.dispatcher.open_requests() == 0);
    cr_assert(f.first->cancelled.size() + f.second->cancelled.size() == 1);
}

// Guards against new requests for an upstream that is marked as leaving, reports that it is
// leaving, or is disconnected (P5).
Test(request_dispatcher, leaving_upstream_gets_no_new_work)
{
    fixture f;
    f.set_upstreams_of_group(true);
    f.submit();
    f.set_upstreams_of_group(false);
    f.first->state.load.set_leaving(true);
    f.submit(false);
    f.first->state.load.set_leaving(false);
    f.first->state.connected = false;
    f.submit();
    cr_assert(f.first->calls.empty() && f.second->calls.size() == 3);
}

// Guards against exceeding the limit of an agent when several threads dispatch at once.
Test(request_dispatcher, concurrent_threads_respect_the_limit)
{
    fixture f;
    f.second->state.connected = false;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&f] {
            for (int i = 0; i < 100; ++i) {
                f.dispatcher.on_capacity_available("assistant");
                controllers::work_request work;
                work.target = "assistant";
                work.deadline = f.clock.now() + 10s;
                f.dispatcher.submit(std::move(work), std::make_shared<fake_response_stream>());
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    cr_assert(f.first->calls.size() == 4);
    cr_assert(f.dispatcher.open_requests() == 400);
}

// Guards against a failing upstream that still gets its share of requests, and against a repaired
// upstream that is never probed.
Test(request_dispatcher, failing_upstream_is_ejected_and_probed)
{
    fixture f;
    const auto third = std::make_shared<fake_upstream_link>(1000);
    f.first->state.load.set_limit(1000);
    f.second->state.load.set_limit(1000);
    f.dispatcher.set_upstreams(
        "assistant", {{"engine-1", f.first}, {"engine-2", f.second}, {"engine-3", third}});
    const auto answer_all = [&](bool third_works) {
        for (const auto& link : {f.first, f.second, third}) {
            auto calls = std::exchange(link->calls, {});
            link->state.dispatched_since_report = 0;
            for (const auto& it : calls) {
                it.events.on_head({link != third || third_works ? 200U : 500U, {}});
                it.events.on_finished();
            }
        }
    };
    for (int n = 0; n < 60; ++n) {
        f.submit();
        answer_all(false);
    }
    for (int n = 0; n < 60; ++n) {
        f.submit();
    }
    cr_assert(third->calls.empty(), "an ejected upstream must get no requests");
    answer_all(true);
    for (int n = 0; n < 10; ++n) {
        f.clock.advance(2s);
        f.submit();
        answer_all(true);
    }
    for (int n = 0; n < 60; ++n) {
        f.submit();
    }
    cr_assert(!third->calls.empty(), "a repaired upstream must get requests again");
}

// Guards against admitting requests that cannot be served before their deadline.
Test(request_dispatcher, requests_that_would_miss_their_deadline_are_not_admitted)
{
    fixture f;
    f.second->state.connected = false;
    std::vector<std::shared_ptr<fake_response_stream>> refused;
    for (int n = 0; n < 200; ++n) {
        f.first->state.dispatched_since_report = n % 2 == 0 ? 3 : 4;
        const auto response = f.submit();
        if (response->finish_count > 0) {
            refused.push_back(response);
        }
        f.clock.advance(50ms);
        f.dispatcher.tick();
    }
    cr_assert(!refused.empty(), "requests arrive at twice the rate at which they are served");
    for (const auto& it : refused) {
        cr_assert(it->outcome() == "not-run" && it->head->status == 429, "%s", it->body.c_str());
        cr_assert(contains(it->body, "predicted wait"));
    }
}
