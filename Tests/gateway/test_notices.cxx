#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "gateway/gateway_fixture.h"
#include "gateway/limited_upstreams.h"
#include "gateway/notice_exchange.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

/// Sends a request and returns the status line and headers of its answer.
std::string send(const gateway_fixture& fixture)
{
    const auto caller =
        fixture.call("/safe/a", "Authorization: Bearer key-1\r\nConnection: close\r\n");
    return caller.read_all();
}

void send_many(const gateway_fixture& fixture, int count)
{
    for (int n = 0; n < count; ++n) {
        (void)send(fixture);
    }
}

} // namespace

// Guards against requests to an upstream that has said that it leaves, although the store does not
// say so.
Test(notices, an_upstream_that_says_that_it_leaves_gets_nothing_more, .timeout = 60)
{
    gateway_fixture fixture(2);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_headers(0, "X-Leaving: 1\r\n");
    while (upstreams.arrivals(0).empty()) {
        send_many(fixture, 1);
    }
    const auto before = upstreams.arrivals(0).size();
    send_many(fixture, 50);
    cr_expect(upstreams.arrivals(0).size() == before, "%zu more",
              upstreams.arrivals(0).size() - before);
    cr_expect(upstreams.arrivals(1).size() >= 50);
    policy::peer_heartbeat heartbeat;
    fixture.run_on_gateway([&] { fixture.tested_gateway->notices().fill(heartbeat); });
    cr_expect(heartbeat.leaving.size() == 1, "the other gateways are told");
}

// Guards against requests to an upstream that a peer has heard to leave.
Test(notices, the_word_of_a_peer_counts, .timeout = 60)
{
    gateway_fixture fixture(2);
    fixture.configure();
    const limited_upstreams upstreams(fixture);
    model::upstream_entry entry;
    entry.id = "u0";
    policy::peer_heartbeat heartbeat;
    heartbeat.leaving = {model::incarnation_hash(entry)};
    fixture.run_on_gateway([&] { fixture.tested_gateway->notices().on_heartbeat(heartbeat); });
    send_many(fixture, 50);
    cr_expect(upstreams.arrivals(0).empty());
}

// Guards against another process at a reused address whose answer makes the upstream leave.
Test(notices, an_answer_of_another_process_is_not_heard, .timeout = 60)
{
    gateway_fixture fixture(1);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_status(0, "421 Misdirected Request");
    upstreams.set_headers(0, "X-Leaving: 1\r\n");
    send_many(fixture, 3);
    upstreams.set_status(0, "200 OK");
    upstreams.set_headers(0, "");
    std::this_thread::sleep_for(300ms); // the backoff after a refusal
    cr_expect(send(fixture).starts_with("HTTP/1.1 200"));
}

// Guards against requests to an upstream that wants none for a time, and against callers that are
// held until then although they cannot be served in time.
Test(notices, an_upstream_that_wants_nothing_gets_nothing_for_that_time, .timeout = 60)
{
    gateway_fixture fixture(1);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_status(0, "503 Service Unavailable");
    upstreams.set_headers(0, "X-Not-Run: full\r\nRetry-After: 5\r\n");
    cr_expect(send(fixture).starts_with("HTTP/1.1 503"));
    const auto before = upstreams.arrivals(0).size();
    for (int n = 0; n < 10; ++n) {
        const auto answer = send(fixture);
        cr_expect(answer.starts_with("HTTP/1.1 503"));
        const auto at = answer.find("Retry-After: ");
        cr_expect(at != std::string::npos && std::stod(answer.substr(at + 13)) > 1,
                  "the caller comes back when there is room");
    }
    cr_expect(upstreams.arrivals(0).size() == before);
}

// Guards against times that are misread.
Test(notices, reads_the_times_of_refusals)
{
    cr_assert(parse_retry_after("2") == 2s);
    cr_assert(parse_retry_after("0.25") == 250ms);
    cr_assert(parse_retry_after("0") == 0s);
    cr_assert(parse_retry_after("31536000") == 24h, "a year is cut before it is bounded");
    for (const auto* text :
         {"", "-1", "soon", "nan", "inf", "Sun, 06 Dec 2026 10:00:00 GMT", "1 s"}) {
        cr_assert(!parse_retry_after(text), "%s", text);
    }
}
