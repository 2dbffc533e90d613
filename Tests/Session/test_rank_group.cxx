#include <csignal>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "Session/session_site.h"

using namespace medlaryoke::session;

namespace {

constexpr unsigned rank_count = 3;
constexpr std::uint64_t enough_steps = 20;

/// @return whether the group makes further steps
bool goes_on(session_site& site)
{
    const std::uint64_t before = site.rank_group_steps()["steps"];
    return session_site::eventually(
        [&site, before] { return site.rank_group_steps()["steps"] >= before + enough_steps; });
}

void check_not_split(session_site& site)
{
    cr_assert(site.rank_group_steps()["split"] == 0, "a step ran on two maps");
}

} // namespace

// Guards against a group that is not started, or not started again after a rank, an agent or the
// log is lost, and against a step on two maps on the way (P1).
Test(rank_group, survives_lost_ranks_agents_and_log)
{
    session_site site;
    site.configure();
    auto agents = site.add_rank_group(rank_count);
    cr_assert(goes_on(site), "the group did not start");

    site.control_rank_group({{"restart", 1}});
    cr_assert(goes_on(site), "the group did not go on after a rank had restarted");

    agents[0].process->signal(SIGKILL);
    agents[0].process->wait();
    site.restart(agents[0]);
    site.control_rank_group({{"restart", 2}});
    cr_assert(goes_on(site), "the group did not go on after an agent had been killed");

    site.control_platform("faults", {{"outage", true}});
    site.control_rank_group({{"restart", 0}});
    cr_assert(goes_on(site), "the group did not go on while the log was down");
    check_not_split(site);
}

// Guards against a paused holder of the lease acting on after another agent took over.
Test(rank_group, paused_agents_do_not_split_a_step)
{
    session_site site;
    site.configure();
    auto agents = site.add_rank_group(rank_count);
    cr_assert(goes_on(site), "the group did not start");
    for (auto& agent : agents) {
        agent.process->signal(SIGSTOP);
        site.control_rank_group({{"restart", 1}});
        agent.process->signal(SIGCONT);
        cr_assert(goes_on(site), "the group did not go on after a pause");
    }
    check_not_split(site);
}
