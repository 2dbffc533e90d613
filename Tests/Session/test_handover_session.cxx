#include <csignal>
#include <string>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Session/session_site.h"

using namespace medlaryoke;
using nlohmann::json;
using session::session_site;

namespace {

constexpr int work_count = 40;

/// Makes calls of the services slow, so that work is running when an entry is killed.
/// @return name of the service
std::string slow_down_services(session_site& site)
{
    std::string name;
    for (const auto& it : site.agents()) {
        if (it.type == "service") {
            name = it.serves;
            site.send(it.upstream_address, "PUT", "/control/faults", {}, R"({"delay_ms":500})");
        }
    }
    return name;
}

/// @return the state of a piece of work at the first entry
json work_at(session_site& site, int n)
{
    return json::parse(
        site.send(site.entries()[0].operators, "GET", fmt::format("/v1/handover/w{}", n)).body);
}

bool is_closed(session_site& site, int n)
{
    const auto state = work_at(site, n).value("state", "");
    return state == "completed" || state == "with_old";
}

/// @return whether one of the first pieces of work is running at an entry
bool runs_at(session_site& site, const std::string& runner, int count)
{
    for (int n = 0; n < count; ++n) {
        if (work_at(site, n).value("runner", "").starts_with(runner)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against handed-over work that is lost or run twice when the entry that runs it is killed.
Test(handover_session, killed_entry_loses_and_repeats_no_work)
{
    session_site site;
    site.configure();
    const json payload{{"caller", "shop"},
                       {"method", "POST"},
                       {"path", fmt::format("/v1/services/{}/reorder", slow_down_services(site))},
                       {"body", {{"item", "pearls"}}}};
    for (int n = 0; n < work_count; ++n) {
        const auto reply =
            site.send(site.entries()[0].operators, "POST", fmt::format("/v1/handover/w{}/offer", n),
                      {{"Medlaryoke-Operation", "op-1"}}, payload.dump());
        cr_assert(reply.head.status == 200, "%s", reply.body.c_str());
        if (n == work_count / 2) {
            cr_assert(session_site::eventually([&] { return runs_at(site, "entry-2/", n); }));
            site.entries()[1].process->signal(SIGKILL);
            site.entries()[1].process->wait();
        }
    }
    int answered = 0;
    for (int n = 0; n < work_count; ++n) {
        cr_assert(session_site::eventually([&] { return is_closed(site, n); }), "work %d is open",
                  n);
        const auto work = work_at(site, n);
        const auto runs = site.runs(fmt::format("handover/w{}", n));
        if (work.at("state") == "with_old") {
            cr_assert(runs == 0, "work %d went back after a run", n);
        }
        else if (work.at("result").at("outcome") == "answered") {
            ++answered;
            cr_assert(runs == 1, "work %d was run %lu times", n, runs);
        }
        else {
            cr_assert(runs <= 1, "work %d was run %lu times", n, runs);
        }
    }
    cr_assert(answered >= work_count / 2, "only %d were answered", answered);
}
