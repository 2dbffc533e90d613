#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "gateway/crashing_upstreams.h"
#include "gateway/gateway_fixture.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

// The users' rule: after the fifth crash and this time, three more requests may reach upstreams.
constexpr auto stable_window = 1000ms;
constexpr unsigned crashes_until_bound = 5;
constexpr unsigned max_later_requests = 3;

/// Sends a stream request with a prompt of four parts, of which the last is its own.
/// @param middle ids of its second and third part
/// @return status line of the response
std::string stream_status(const gateway_fixture& fixture, const std::string& middle)
{
    static unsigned number = 0;
    const auto caller =
        fixture.call("/stream/", "Authorization: Bearer key-1\r\nX-Model: m\r\n"
                                 "Connection: close\r\nX-Parts: aa00:40," +
                                     middle + ",ff" + std::to_string(++number) + ":9\r\n");
    const auto text = caller.read_all();
    return text.substr(0, text.find('\r'));
}

/// Sends requests with a crashing part, and sound ones that share the caller and all other parts.
void expect_crashes_to_end(crashing_upstreams::break_off how)
{
    gateway_fixture fixture(16);
    fixture.configure();
    const crashing_upstreams upstreams(fixture, {"bad0"}, how);
    for (unsigned n = 0; n < 20 && upstreams.ended() < crashes_until_bound; ++n) {
        const auto other = "b" + std::to_string(n % 3) + ":30";
        (void)stream_status(fixture, n % 2 == 0 ? other + ",bad0:20" : "bad0:20," + other);
        cr_expect(stream_status(fixture, other + ",c1:7").starts_with("HTTP/1.1 200"));
    }
    std::this_thread::sleep_for(stable_window);
    const auto before = upstreams.crashing_requests();
    for (unsigned n = 0; n < 8; ++n) {
        const auto other = "b" + std::to_string(n % 3) + ":30";
        const auto refused = stream_status(fixture, other + ",bad0:20");
        cr_expect(refused.starts_with("HTTP/1.1 50"), "%s", refused.c_str());
        const auto sound = stream_status(fixture, other + ",c1:7");
        cr_expect(sound.starts_with("HTTP/1.1 200"), "%s", sound.c_str());
    }
    const auto later = upstreams.crashing_requests() - before;
    cr_expect(later <= max_later_requests, "%u requests reached upstreams, %u ended in all", later,
              upstreams.ended());
}

} // namespace

// Guards against requests that share a part of their prompts and end one upstream after the other.
Test(crashing_prompts, a_part_that_ends_upstreams_is_not_sent_any_more, .timeout = 60)
{
    expect_crashes_to_end(crashing_upstreams::break_off::after_chunked_head);
}

// Guards against the same where the answer has neither a length nor chunks, so that its early end
// looks like its regular one.
Test(crashing_prompts, unframed_answers_that_break_off_count, .timeout = 60)
{
    expect_crashes_to_end(crashing_upstreams::break_off::after_unframed_head);
    expect_crashes_to_end(crashing_upstreams::break_off::within_event);
}

// Guards against the same where upstreams end before they send anything.
Test(crashing_prompts, upstreams_that_end_without_a_head_count, .timeout = 60)
{
    expect_crashes_to_end(crashing_upstreams::break_off::before_head);
}

// Guards against a second part that stays unnoticed behind the first one.
Test(crashing_prompts, several_parts_that_end_upstreams_are_found, .timeout = 60)
{
    gateway_fixture fixture(24);
    fixture.configure();
    const crashing_upstreams upstreams(fixture, {"bad0", "bad1", "bad2"});
    for (unsigned n = 0; n < 15 && upstreams.ended() < 3 * crashes_until_bound; ++n) {
        (void)stream_status(fixture, "b1:30,bad" + std::to_string(n % 3) + ":20");
        cr_expect(stream_status(fixture, "b1:30,c1:7").starts_with("HTTP/1.1 200"));
    }
    std::this_thread::sleep_for(stable_window);
    for (unsigned part = 0; part < 3; ++part) {
        const auto before = upstreams.crashing_requests();
        for (unsigned n = 0; n < 5; ++n) {
            (void)stream_status(fixture, "b1:30,bad" + std::to_string(part) + ":20");
            cr_expect(stream_status(fixture, "b1:30,c1:7").starts_with("HTTP/1.1 200"));
        }
        cr_expect(upstreams.crashing_requests() - before <= max_later_requests);
    }
}

// Guards against an answer without a length or chunks that is taken for complete although its
// connection was reset, and one that is refused although it ended with its connection.
Test(crashing_prompts, unframed_answers_end_with_their_connection, .timeout = 30)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\n";
    for (const bool is_reset : {false, true}) {
        gateway_fixture fixture(1);
        fixture.configure();
        const auto caller =
            fixture.call("/safe/a", "Authorization: Bearer key-1\r\nConnection: close\r\n");
        {
            const auto upstream = fixture.upstreams[0]->accept();
            (void)upstream.read_until("\r\n\r\n");
            upstream.send(head + "{\"a\":1}");
            std::this_thread::sleep_for(50ms);
            if (is_reset) {
                upstream.reset_on_close();
            }
        }
        const auto answer = caller.read_all();
        cr_expect(answer.starts_with(is_reset ? "HTTP/1.1 502" : "HTTP/1.1 200"), "%s",
                  answer.c_str());
        cr_expect(is_reset || answer.ends_with("{\"a\":1}"));
    }
}
