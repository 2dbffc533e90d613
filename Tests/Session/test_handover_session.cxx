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

constexpr int work_item_count = 40;

/// Delays each call of the services by 500 ms, so that work is running when an entry is killed.
/// @return name of the service
std::string delay_services(session_site& site)
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

/// @return the state of a work item at the first entry
json read_work_item(session_site& site, int n)
{
    return json::parse(
        site.send(site.entries()[0].operator_address, "GET", fmt::format("/v1/handover/w{}", n))
            .body);
}

/// @return whether a work item was completed or returned to the old router
bool is_closed(session_site& site, int n)
{
    const auto state = read_work_item(site, n).value("state", "");
    return state == "completed" || state == "with_old";
}

/// @return whether one of the first `count` work items is running at an entry
bool any_item_runs_at(session_site& site, const std::string& runner_prefix, int count)
{
    for (int n = 0; n < count; ++n) {
        if (read_work_item(site, n).value("runner", "").starts_with(runner_prefix)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against handed-over work that is lost or runs twice because the entry that ran it was
// killed.
Test(handover_session, killed_entry_neither_loses_nor_repeats_work)
{
    session_site site;
    site.configure();
    const json payload{{"caller", "shop"},
                       {"method", "POST"},
                       {"path", fmt::format("/v1/services/{}/reorder", delay_services(site))},
                       {"body", {{"item", "pearls"}}}};
    for (int n = 0; n < work_item_count; ++n) {
        const auto reply = site.send(site.entries()[0].operator_address, "POST",
                                     fmt::format("/v1/handover/w{}/offer", n),
                                     {{"Medlaryoke-Operation", "op-1"}}, payload.dump());
        cr_assert(reply.head.status == 200, "%s", reply.body.c_str());
        if (n == work_item_count / 2) {
            cr_assert(
                session_site::wait_until([&] { return any_item_runs_at(site, "entry-2/", n); }));
            site.entries()[1].process->signal(SIGKILL);
            site.entries()[1].process->wait();
        }
    }
    int answered = 0;
    for (int n = 0; n < work_item_count; ++n) {
        cr_assert(session_site::wait_until([&] { return is_closed(site, n); }),
                  "work item %d is not closed", n);
        const auto work = read_work_item(site, n);
        const auto runs = site.run_count(fmt::format("handover/w{}", n));
        if (work.at("state") == "with_old") {
            cr_assert(runs == 0, "work item %d ran before it was returned", n);
        }
        else if (work.at("result").at("outcome") == "answered") {
            ++answered;
            cr_assert(runs == 1, "work item %d ran %lu times", n, runs);
        }
        else {
            cr_assert(runs <= 1, "work item %d ran %lu times", n, runs);
        }
    }
    cr_assert(answered >= work_item_count / 2, "only %d work items were answered", answered);
}
