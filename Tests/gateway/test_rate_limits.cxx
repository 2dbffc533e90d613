#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "gateway/gateway_fixture.h"
#include "gateway/limited_upstreams.h"

using namespace medlaryoke;
using namespace medlaryoke::gateway;
using namespace std::chrono_literals;

namespace {

// The users' rule: from this time after the first naming on, a window holds no more requests than
// one and a half times the limit allows, and some more.
constexpr auto stable_window = 3000ms;
constexpr auto rule_window = 4s;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

double allowed_requests(double limit)
{
    return allowed_factor * limit * std::chrono::duration<double>(rule_window).count() +
           allowed_extra;
}

/// Statuses of the answers to a series of requests.
struct served_counts {
    unsigned succeeded = 0;
    unsigned refused = 0;
    unsigned failed = 0;
    duration slowest_refusal{};
};

/// Sends requests one after the other.
/// @param fixture the gateway
/// @param length of the series
/// @param gap between the end of a request and the next one
served_counts send_requests(const gateway_fixture& fixture, duration length, duration gap)
{
    served_counts counts;
    const auto end = fixture.clock.now() + length;
    while (fixture.clock.now() < end) {
        const auto sent_at = fixture.clock.now();
        const auto caller =
            fixture.call("/safe/a", "Authorization: Bearer key-1\r\nConnection: close\r\n");
        const auto text = caller.read_all();
        if (text.starts_with("HTTP/1.1 200")) {
            ++counts.succeeded;
        }
        else if (text.starts_with("HTTP/1.1 503")) {
            ++counts.refused;
            counts.slowest_refusal =
                std::max<duration>(counts.slowest_refusal, fixture.clock.now() - sent_at);
        }
        else {
            ++counts.failed;
        }
        std::this_thread::sleep_for(gap);
    }
    return counts;
}

} // namespace

// Guards against an upstream that names a limit and gets its even share all the same.
Test(rate_limits, an_upstream_gets_no_more_than_it_names, .timeout = 60)
{
    gateway_fixture fixture(3);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_limit(0, "1.2");
    const auto begin = fixture.clock.now();
    const auto counts = send_requests(fixture, 8s, 5ms);
    const auto most = busiest_window(upstreams.arrivals(0), begin + stable_window, rule_window);
    cr_expect(static_cast<double>(most) <= allowed_requests(1.2), "%zu in a window", most);
    cr_expect(most > 0, "the limit is used");
    cr_expect(counts.refused + counts.failed == 0, "the others serve what the upstream doesn't");
}

// Guards against repeats of requests that others failed, which reach the upstream beyond its limit.
Test(rate_limits, repeats_count_towards_the_limit, .timeout = 60)
{
    gateway_fixture fixture(3);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_limit(0, "1");
    upstreams.set_status(1, "500 Failed");
    upstreams.set_status(2, "500 Failed");
    const auto begin = fixture.clock.now();
    (void)send_requests(fixture, 8s, 5ms);
    const auto most = busiest_window(upstreams.arrivals(0), begin + stable_window, rule_window);
    cr_expect(static_cast<double>(most) <= allowed_requests(1), "%zu in a window", most);
}

// Guards against requests that are held although no upstream takes them in time.
Test(rate_limits, what_no_upstream_takes_is_refused_at_once, .timeout = 60)
{
    gateway_fixture fixture(2);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_limit(0, "0.5");
    upstreams.set_limit(1, "0");
    (void)send_requests(fixture, stable_window, 5ms);
    const auto begin = fixture.clock.now();
    const auto counts = send_requests(fixture, 6s, 5ms);
    for (const std::size_t n : {0U, 1U}) {
        const auto most = busiest_window(upstreams.arrivals(n), begin, rule_window);
        cr_expect(static_cast<double>(most) <= allowed_requests(n == 0 ? 0.5 : 0),
                  "%zu in a window", most);
    }
    cr_expect(counts.succeeded > 0 && counts.refused > 0 && counts.failed == 0);
    cr_expect(counts.slowest_refusal < 150ms, "%lld ms",
              static_cast<long long>(counts.slowest_refusal / 1ms));
}

// Guards against a limit that is kept although the upstream no longer names it.
Test(rate_limits, a_limit_ends_with_the_first_answer_without_it, .timeout = 60)
{
    gateway_fixture fixture(1);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_limit(0, "0.8");
    (void)send_requests(fixture, stable_window, 5ms);
    upstreams.set_limit(0, "");
    // The next request that the limit admits brings the first answer without it.
    const auto before = upstreams.arrivals(0).size();
    while (upstreams.arrivals(0).size() == before) {
        (void)send_requests(fixture, 10ms, 5ms);
    }
    const auto counts = send_requests(fixture, 1s, 5ms);
    cr_expect(counts.refused + counts.failed == 0, "%u refused", counts.refused);
    cr_expect(counts.succeeded > 20);
}

// Guards against a limit that ends because another process answers at the address.
Test(rate_limits, an_answer_of_another_process_ends_no_limit, .timeout = 60)
{
    gateway_fixture fixture(1);
    fixture.configure();
    limited_upstreams upstreams(fixture);
    upstreams.set_limit(0, "2");
    (void)send_requests(fixture, 500ms, 5ms);
    upstreams.set_limit(0, "");
    upstreams.set_status(0, "421 Misdirected Request");
    (void)send_requests(fixture, stable_window, 5ms);
    fixture.run_on_gateway(
        [&fixture] { cr_expect(fixture.tested_gateway->limits().shared().has_limits()); });
}
