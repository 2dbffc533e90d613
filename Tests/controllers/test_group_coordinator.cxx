#include "controllers/group_coordinator.h"

#include <criterion/criterion.h>

#include "controllers/rank_controller.h"
#include "fakes/fake_lockstep_group.h"

using namespace medlaryoke;
using namespace medlaryoke::controllers;
using namespace std::chrono_literals;
using medlaryoke::fakes::fake_lockstep_group;

namespace {

constexpr unsigned rank_count = 4;
constexpr policy::placement_shape small_shape{rank_count, 8, 3};

/// A lock-step group with an agent at each rank; every agent has a coordinator. Chosen frames can
/// be dropped.
struct agent_group {
    struct agent {
        std::shared_ptr<rank_controller> rank;
        std::unique_ptr<group_coordinator> coordinator;
        std::uint64_t incarnation = 0;
        bool is_running = true;
    };

    fake_lockstep_group engines{rank_count};
    std::vector<agent> agents{rank_count};
    std::optional<std::size_t> holder = 0; ///< agent that holds the lease
    std::uint64_t fence = 10;
    std::function<bool(const wire::frame&)> is_dropped = [](const wire::frame&) { return false; };
    time_point now{};

    agent_group()
    {
        for (std::size_t n = 0; n < rank_count; ++n) {
            this->start_agent(n, n + 1);
        }
    }

    void start_agent(std::size_t n, std::uint64_t incarnation)
    {
        auto& it = this->agents[n];
        it.incarnation = incarnation;
        it.is_running = true;
        it.rank = std::make_shared<rank_controller>(
            rank_controller_options{"pearl", static_cast<unsigned>(n), incarnation},
            *this->engines.engines[n]);
        group_coordinator_options options;
        options.group = "pearl";
        options.agent_incarnation = incarnation;
        options.shape = small_shape;
        options.layers = 2;
        options.token_count_interval = 5s;
        options.stall_timeout_stagger = n * 200ms;
        options.costs = {.expert_time_fraction = 0.5,
                         .bytes_per_expert = 1e6,
                         .store_bytes_per_second = 2e9,
                         .loading_slowdown_fraction = 0.02,
                         .switch_pause = 30ms};
        it.coordinator = std::make_unique<group_coordinator>(
            options,
            group_coordinator_callbacks{
                .send = [this, n](unsigned rank,
                                  const wire::frame& frame) { this->deliver(n, rank, frame); },
                .fence = [this, n]() -> std::optional<std::uint64_t> {
                    return this->holder == n ? std::optional(this->fence) : std::nullopt;
                },
                .own_status = [rank = it.rank] { return rank->status(); }});
    }

    void deliver(std::size_t from, unsigned to, const wire::frame& frame)
    {
        const auto command = parse_map_frame(frame);
        if (!this->agents[to].is_running || this->is_dropped(frame) || !command) {
            return;
        }
        this->agents[to].rank->handle(*command, [this, from](wire::frame answer) {
            if (this->agents[from].is_running) {
                this->statuses.emplace_back(from, std::move(answer));
            }
        });
    }

    /// Advances the time in steps of 25 ms.
    void run(duration time)
    {
        constexpr duration step = 25ms;
        for (auto passed = 0ns; passed < time; passed += step) {
            this->now += step;
            this->engines.run_step();
            for (auto& it : this->agents) {
                if (it.is_running) {
                    it.rank->poll();
                    it.coordinator->tick(this->now);
                }
            }
            const auto answers = std::exchange(this->statuses, {});
            for (const auto& [to, frame] : answers) {
                this->agents[to].coordinator->on_status(frame.map_status(), this->now);
            }
        }
    }

    [[nodiscard]] std::uint64_t version(std::size_t n) const
    {
        return this->engines.engines[n]->gate.status().active_version;
    }

    /// @return whether the group makes steps during the time
    bool makes_steps(duration time)
    {
        const auto before = this->engines.steps;
        this->run(time);
        return this->engines.steps > before;
    }

    std::vector<std::pair<std::size_t, wire::frame>> statuses;
};

} // namespace

// Guards against a group that never starts, or in which some ranks have no active map.
Test(group_coordinator, stopped_group_starts_on_one_map)
{
    agent_group it;
    it.run(3s);
    cr_assert(it.makes_steps(1s));
    cr_assert(it.version(0) != 0);
}

// Guards against a restarted rank that gets another map, and against a group that stays stopped.
Test(group_coordinator, restarted_rank_gets_the_active_map)
{
    agent_group it;
    it.run(3s);
    const auto version = it.version(0);
    for (const std::size_t restarted_rank : {2U, 0U}) { // rank 0 is the rank of the lease holder
        it.engines.engines[restarted_rank]->restart();
        it.run(6s);
        cr_assert(it.version(restarted_rank) == version);
        cr_assert(it.makes_steps(1s));
    }
}

// Guards against the loss of the active map: the lease holder restarts together with its engine and
// must get the content of the map from another rank.
Test(group_coordinator, restarted_lease_holder_gets_the_map_from_another_rank)
{
    agent_group it;
    it.run(3s);
    const auto version = it.version(1);
    it.engines.engines[0]->restart();
    it.start_agent(0, 50);
    it.fence = 20;
    it.run(6s);
    cr_assert(it.version(0) == version);
    cr_assert(it.makes_steps(1s));
}

// Guards against a group that stays held after its coordinator crashed during a switch while the
// log was unavailable, so that no other agent can acquire the lease.
Test(group_coordinator, hold_of_crashed_coordinator_is_resolved_without_a_lease)
{
    agent_group it;
    it.run(3s);
    // The high load of one slot causes a switch; its activate and abort commands are dropped.
    for (auto& engine : it.engines.engines) {
        engine->tokens.assign(2, std::vector<std::uint64_t>(3, 1000));
    }
    it.run(6s);
    it.is_dropped = [](const wire::frame& frame) {
        return frame.has_map_activate() || frame.has_map_abort();
    };
    for (auto& tokens : it.engines.engines[1]->tokens) {
        tokens[0] += 100'000;
    }
    const auto is_held = [&it] {
        return std::ranges::all_of(it.engines.engines, [](const auto& engine) {
            return engine->gate.status().held_step != 0;
        });
    };
    for (int n = 0; n < 1000 && !is_held(); ++n) {
        it.run(25ms);
    }
    cr_assert(is_held(), "no switch was started");
    it.run(200ms); // completes the steps before the held one
    cr_assert_not(it.makes_steps(1s));
    it.agents[0].is_running = false; // the agent process crashed; the engine of rank 0 runs on
    it.holder.reset();
    it.start_agent(0, 60);
    it.is_dropped = [](const wire::frame&) { return false; };
    it.run(8s);
    cr_assert(it.makes_steps(1s));
}

// Guards against a group that stops for the whole outage of the log after one rank restarted.
Test(group_coordinator, restarted_rank_gets_the_map_without_a_lease)
{
    agent_group it;
    it.run(3s);
    const auto version = it.version(0);
    it.holder.reset();
    it.run(1s);
    it.engines.engines[2]->restart();
    it.run(10s);
    cr_assert(it.makes_steps(1s));
    cr_assert(it.version(2) == version);
}

// Guards against uneven load that never leads to a switch, or to one without effect.
Test(group_coordinator, uneven_load_leads_to_a_switch)
{
    agent_group it;
    it.run(3s);
    const auto first_version = it.version(0);
    for (auto& engine : it.engines.engines) {
        engine->tokens.assign(2, std::vector<std::uint64_t>(3, 1000));
    }
    it.run(6s);
    for (auto& tokens : it.engines.engines[1]->tokens) {
        tokens[0] += 100'000;
    }
    it.run(12s);
    cr_assert(it.version(0) > first_version);
    cr_assert(it.agents[0].coordinator->counts().switches >= 2);
    cr_assert(it.makes_steps(1s));
}
