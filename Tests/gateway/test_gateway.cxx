#include "gateway/gateway.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include "gateway/gateway_fixture.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

const std::string key = "Authorization: Bearer key-1\r\n";

bool has_status(const std::string& answer, unsigned status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Reads a response that is chunked or has a JSON object as its body.
std::string read_response(const fakes::raw_connection& caller)
{
    auto head = caller.read_until("\r\n\r\n");
    return contains(head, "chunked") ? head + caller.read_until("0\r\n\r\n")
                                     : head + caller.read_until("}");
}

/// Accepts a connection to an upstream and reads the head of its request.
/// @return the connection
fakes::raw_connection accept_request(const fakes::raw_listener& upstream)
{
    auto connection = upstream.accept();
    cr_assert(!connection.read_until("\r\n\r\n").empty());
    return connection;
}

} // namespace

// Guards against an API key that is forwarded, an organisation that the caller set in a header, and
// a request that is executed by another upstream at the same address.
Test(gateway, sets_organisation_upstream_and_deadline_headers)
{
    gateway_fixture fixture(1);
    fixture.configure();
    const auto caller =
        fixture.call("/safe/a?b=c", key + "X-Organisation: other\r\nX-Deadline: 900\r\n"
                                          "Connection: X-Hop\r\nX-Hop: 1\r\nX-Keep: 2\r\n");
    const auto upstream = fixture.upstreams[0]->accept();
    const auto text = upstream.read_until("\r\n\r\n");
    cr_assert(text.starts_with("GET /safe/a?b=c HTTP/1.1\r\n"), "%s", text.c_str());
    cr_assert(contains(text, "X-Organisation: org-1\r\n") && !contains(text, "other"));
    cr_assert(contains(text, "X-Upstream: u0\r\n"));
    cr_assert(contains(text, "X-Deadline: ") && !contains(text, "X-Deadline: 900"));
    cr_assert(contains(text, "X-Keep: 2") && !contains(text, "X-Hop") && !contains(text, "key-1"));
    upstream.send(signed_response("r-1", "{}"));
    const auto answer = read_response(caller);
    cr_assert(has_status(answer, 200) && contains(answer, "X-Signature: s"), "%s", answer.c_str());
}

// Guards against requests that are forwarded without a route or an API key, and against a 404 while
// no configuration is loaded.
Test(gateway, refuses_what_the_configuration_does_not_allow)
{
    gateway_fixture fixture(1);
    cr_assert(has_status(read_response(fixture.call("/safe/", key)), 503));
    fixture.configure();
    cr_assert(has_status(read_response(fixture.call("/other/", key)), 404));
    cr_assert(has_status(read_response(fixture.call("/safe/")), 401));
    cr_assert(
        has_status(read_response(fixture.call("/safe/", "Authorization: Bearer no\r\n")), 401));
    cr_assert(!fixture.upstreams[0]->has_pending());
    const auto caller = fixture.call("/public/");
    const auto upstream = fixture.upstreams[0]->accept();
    cr_assert(!contains(upstream.read_until("\r\n\r\n"), "X-Organisation"));
}

// Guards against an unsafe request that runs twice, and against a response that says it did not run
// although it may have.
Test(gateway, does_not_retry_an_unsafe_request_that_may_have_run)
{
    gateway_fixture fixture(2);
    fixture.configure();
    const auto caller = fixture.call("/unsafe/", key);
    const auto first = fixture.wait_for_upstream();
    {
        const auto upstream = accept_request(*fixture.upstreams[first]);
    }
    const auto answer = read_response(caller);
    cr_assert(has_status(answer, 502), "%s", answer.c_str());
    cr_assert(!fixture.upstreams[1 - first]->has_pending());
}

// Guards against an unsafe request that is not retried although the upstream stated that it did not
// run it, and against a wrong response when no other upstream is left.
Test(gateway, retries_a_refused_request_at_another_upstream)
{
    gateway_fixture fixture(2);
    fixture.configure();
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    const auto caller = fixture.call("/unsafe/", key);
    const auto first = fixture.wait_for_upstream();
    const auto one = accept_request(*fixture.upstreams[first]);
    one.send(refusal);
    const auto other = accept_request(*fixture.upstreams[1 - first]);
    other.send(refusal);
    const auto answer = read_response(caller);
    cr_assert(has_status(answer, 503) && contains(answer, "Retry-After: "), "%s", answer.c_str());
}

// Guards against a failed request that waits until its deadline for another upstream although the
// service has only one.
Test(gateway, forwards_a_failure_at_once_if_no_other_upstream_is_left)
{
    gateway_fixture fixture(1);
    fixture.configure();
    const auto started = std::chrono::steady_clock::now();
    const auto caller = fixture.call("/safe/", key);
    const auto upstream = accept_request(*fixture.upstreams[0]);
    upstream.send(
        "HTTP/1.1 500 Failed\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\n{}");
    cr_assert(has_status(read_response(caller), 500));
    // The timeout of the route is 2 s.
    cr_assert(std::chrono::steady_clock::now() - started < std::chrono::milliseconds(700));
}

// Guards against a truncated response that is forwarded as if it were complete.
Test(gateway, retries_a_safe_request_after_a_truncated_response)
{
    gateway_fixture fixture(2);
    fixture.configure();
    const auto caller = fixture.call("/safe/", key);
    const auto first = fixture.wait_for_upstream();
    {
        const auto upstream = accept_request(*fixture.upstreams[first]);
        upstream.send("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                      "Content-Length: 10\r\n\r\n{\"a");
    }
    const auto other = accept_request(*fixture.upstreams[1 - first]);
    other.send(signed_response("r-1", "{\"b\":1}"));
    const auto answer = read_response(caller);
    cr_assert(has_status(answer, 200) && answer.ends_with("{\"b\":1}"), "%s", answer.c_str());
}

// Guards against a successful response without an upstream's signature, and against an upstream's
// failure response that is replaced by one of the gateway.
Test(gateway, forwards_only_signed_successes)
{
    gateway_fixture fixture(1);
    fixture.configure();
    const auto caller = fixture.call("/unsafe/", key);
    const auto upstream = accept_request(*fixture.upstreams[0]);
    upstream.send("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\n{}");
    cr_assert(has_status(read_response(caller), 502));
    const auto second = fixture.call("/unsafe/", key);
    const auto again = accept_request(*fixture.upstreams[0]);
    again.send("HTTP/1.1 500 Broken\r\nX-Id: r-1\r\nX-Signature: f\r\nContent-Length: 2\r\n\r\n{}");
    const auto answer = read_response(second);
    cr_assert(has_status(answer, 500) && contains(answer, "X-Signature: f"), "%s", answer.c_str());
}

// Guards against events that are lost, duplicated or joined from two runs when an upstream closes
// the connection in the middle of an event.
Test(gateway, resumes_a_stream_at_another_upstream)
{
    gateway_fixture fixture(2);
    fixture.configure();
    const auto caller = fixture.call("/stream/", key);
    const auto first = fixture.wait_for_upstream();
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begun = "id: 1\ndata: a\n\nid: 2\nda";
    {
        const auto upstream = fixture.upstreams[first]->accept();
        cr_assert(!contains(upstream.read_until("\r\n\r\n"), "Last-Event-Id"));
        upstream.send(head + "16\r\n" + begun + "\r\n");
        cr_assert(!caller.read_until("data: a\n\n").empty());
    }
    const auto other = fixture.upstreams[1 - first]->accept();
    cr_assert(contains(other.read_until("\r\n\r\n"), "Last-Event-Id: 1\r\n"));
    other.send(head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    const auto rest = caller.read_until("0\r\n\r\n");
    cr_assert(contains(rest, "id: 2\ndata: b\n\n") && !contains(rest, "X-Signature"), "%s",
              rest.c_str());
}

// Guards against a truncated stream that looks complete to the caller.
Test(gateway, aborts_a_stream_that_no_upstream_can_complete)
{
    gateway_fixture fixture(1);
    fixture.configure();
    const auto caller = fixture.call("/stream/", key);
    {
        const auto upstream = accept_request(*fixture.upstreams[0]);
        upstream.send("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    }
    const auto all = caller.read_all();
    cr_assert(contains(all, "data: a") && !all.ends_with("0\r\n\r\n"), "%s", all.c_str());
}

// Guards against upstreams that continue to process requests of disconnected callers.
Test(gateway, cancels_the_request_of_a_disconnected_caller)
{
    gateway_fixture fixture(1);
    fixture.configure();
    auto caller = std::make_unique<fakes::raw_connection>(fixture.call("/unsafe/", key));
    const auto upstream = accept_request(*fixture.upstreams[0]);
    caller.reset();
    cr_assert(upstream.read_all().empty()); // returns when the gateway closes the connection
    fixture.run_on_gateway([&fixture] { cr_assert(fixture.tested_gateway->open_requests() == 0); });
}

// Guards against requests that stay open past the route's timeout or the caller's deadline.
Test(gateway, responds_at_the_deadline)
{
    gateway_fixture fixture(1);
    fixture.configure();
    const auto start = std::chrono::steady_clock::now();
    const auto caller = fixture.call("/unsafe/", key + "X-Deadline: 200\r\n");
    const auto upstream = fixture.upstreams[0]->accept();
    const auto answer = read_response(caller);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    cr_assert(has_status(answer, 504), "%s", answer.c_str());
    cr_assert(elapsed >= 150ms && elapsed < 700ms);
}

// Guards against requests that are accepted shortly before the process stops and are then aborted.
Test(gateway, refuses_new_requests_during_shutdown)
{
    gateway_fixture fixture(1);
    fixture.configure();
    fixture.run_on_gateway([&fixture] { fixture.tested_gateway->refuse_new_requests(); });
    const auto answer = read_response(fixture.call("/safe/", key));
    cr_assert(has_status(answer, 503) && contains(answer, "Retry-After: "), "%s", answer.c_str());
    cr_assert(!fixture.upstreams[0]->has_pending());
}
