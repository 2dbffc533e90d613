#include "controllers/usage_meter.h"

#include <string>

#include <criterion/criterion.h>

#include "base/digest.h"
#include "controllers/agent_status.h"

using namespace medlaryoke;
using namespace std::chrono_literals;

// Guards against usage that does not decay, and against organisations in the wrong order.
Test(usage_meter, returns_organisations_with_the_highest_decayed_rate)
{
    controllers::usage_meter meter(10s);
    const time_point start{};
    for (int n = 1; n <= 12; ++n) {
        meter.add("org" + std::to_string(n), 100.0 * n, start);
    }
    meter.add("org1", 10'000, start + 10s);
    const auto list = meter.top_organisations(3, start + 10s);
    cr_assert_eq(list.size(), 3);
    cr_assert_eq(list[0].organisation_hash(), hash64("org1"));
    cr_assert_eq(list[0].tokens_per_second(), 1003, "the first 100 tokens have decayed to 37");
    cr_assert_eq(list[1].organisation_hash(), hash64("org12"));
    cr_assert_eq(list[1].tokens_per_second(), 44, "1200 tokens have decayed to 441");
    cr_assert(meter.top_organisations(3, start + 10min).empty());
}

// Guards against an agent that reports itself as ready while it is draining or its upstream is
// down.
Test(agent_status, readiness_and_metrics)
{
    controllers::agent_status status;
    status.upstream = "desk";
    status.counts.load.set_upstream_up(true);
    status.counts.load.set_running(3);
    const auto status_of = [&](const std::string& method, const std::string& target) {
        return controllers::answer_agent_operator_request({method, target, {}, {}}, status)
            .head.status;
    };
    cr_assert_eq(status_of("GET", "/readyz"), 200);
    cr_assert_eq(status_of("GET", "/other"), 404);
    cr_assert_eq(status_of("POST", "/metrics"), 400);
    const auto metrics = controllers::format_metrics(status);
    cr_assert(metrics.find("# TYPE medlaryoke_agent_running gauge\nmedlaryoke_agent_running 3\n") !=
              std::string::npos);
    status.counts.load.set_upstream_up(false);
    cr_assert_eq(status_of("GET", "/readyz"), 503);
    status.counts.load.set_upstream_up(true);
    status.draining = true;
    cr_assert_eq(status_of("GET", "/readyz"), 503);
    cr_assert_eq(status_of("GET", "/healthz"), 200);
}
