#include <csignal>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "Session/session_site.h"

using namespace medlaryoke::session;

namespace {

constexpr unsigned rank_count = 3;
constexpr std::uint64_t min_further_steps = 20;

/// @return whether the group runs further steps in time
bool makes_progress(session_site& site)
{
    const std::uint64_t steps_before = site.rank_group_steps()["steps"];
    return session_site::wait_until([&site, steps_before] {
        return site.rank_group_steps()["steps"] >= steps_before + min_further_steps;
    });
}

/// Checks that the ranks used the same map in every step.
void check_not_split(session_site& site)
{
    cr_assert(site.rank_group_steps()["split"] == 0, "the ranks ran one step on different maps");
}

} // namespace

// Guards against a group that does not start, or does not recover after the loss of a rank, an
// agent or the log, and against a step that ranks run on different maps meanwhile (P1).
Test(rank_group, recovers_from_lost_ranks_agents_and_log)
{
    session_site site;
    site.configure();
    auto agents = site.add_rank_group(rank_count);
    cr_assert(makes_progress(site), "the group ran no steps after its start");

    site.control_rank_group({{"restart", 1}});
    cr_assert(makes_progress(site), "the group ran no further steps after a rank had restarted");

    agents[0].process->signal(SIGKILL);
    agents[0].process->wait();
    site.restart_agent(agents[0]);
    site.control_rank_group({{"restart", 2}});
    cr_assert(makes_progress(site),
              "the group ran no further steps after an agent had been killed");

    site.control_platform("faults", {{"outage", true}});
    site.control_rank_group({{"restart", 0}});
    cr_assert(makes_progress(site), "the group ran no further steps while the log was down");
    check_not_split(site);
}

// Guards against an agent that holds the lease, is paused, and still acts as the holder after
// another agent has taken the lease over.
Test(rank_group, paused_agents_do_not_split_a_step)
{
    session_site site;
    site.configure();
    auto agents = site.add_rank_group(rank_count);
    cr_assert(makes_progress(site), "the group ran no steps after its start");
    for (auto& agent : agents) {
        agent.process->signal(SIGSTOP);
        site.control_rank_group({{"restart", 1}});
        agent.process->signal(SIGCONT);
        cr_assert(makes_progress(site), "the group ran no further steps after a pause");
    }
    check_not_split(site);
}
