#include "policy/map_rollout.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "policy/rank_group_model.h"

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr unsigned rank_count = 3;
constexpr auto tick = 10ms;
constexpr auto step_duration = 40ms;
constexpr auto ticks_between_changes = 130; // of the load and of the unreachable rank

/// Probabilities of faults, as fractions of the orders or of the time.
struct network_faults {
    double lost = 0;       ///< orders that are never executed
    double late = 0;       ///< orders that are executed up to 12 s later and not answered
    double idle = 0;       ///< time in which the group runs no steps
    double cut_off = 0;    ///< time in which one rank is unreachable
    double unanswered = 0; ///< orders that are executed at once and not answered
};

/// Simulates a group and, one after another, coordinators that reach it over a faulty network.
class simulation {
public:
    simulation(unsigned seed, network_faults faults) : random_(seed), faults_(faults) {}

    void run(duration length)
    {
        for (const auto end = this->now + length; this->now < end; this->now += tick) {
            const auto ticks = this->now.time_since_epoch() / tick;
            if (ticks % ticks_between_changes == 0) {
                this->idle_ = this->happens(this->faults_.idle);
                this->unreachable_rank_ =
                    this->happens(this->faults_.cut_off)
                        ? std::optional<unsigned>(this->random_() % rank_count)
                        : std::nullopt;
            }
            if (!this->idle_ && ticks % (step_duration / tick) == 0) {
                cr_assert(this->group.begin_step(), "ranks run one step with different maps");
                this->max_held_steps = std::max(this->max_held_steps, this->group.held_steps);
            }
            this->deliver_late();
            if (this->rollout) {
                this->drive();
            }
        }
    }

    /// Starts a rollout. Late orders of earlier coordinators are still delivered.
    /// @param token token of the coordinator
    void begin(std::uint64_t token)
    {
        this->token_ = token;
        this->version_ = std::max(this->version_ + 2, token * 1000);
        rollout_options options;
        options.min_switch_step = this->used_step_ + 1;
        this->rollout = std::make_unique<map_rollout>(rank_count, this->group.epoch,
                                                      expert_map{this->version_, {}}, expert_map{},
                                                      this->now, options);
    }

    /// Ends the coordinator without a cleanup. Orders that it has sent may still arrive.
    void crash()
    {
        this->used_step_ = std::max(this->used_step_, this->rollout->step());
        this->rollout.reset();
    }

    rank_group_model group{rank_count};
    time_point now{100s};
    std::unique_ptr<map_rollout> rollout;
    unsigned max_held_steps = 0;

private:
    struct late_order {
        time_point delivery_time;
        unsigned rank;
        std::uint64_t token;
        std::uint64_t epoch;
        rank_order order;
    };

    /// @return true with the given probability
    bool happens(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random_) < probability;
    }

    void drive()
    {
        this->rollout->check_timeouts(this->now);
        for (const auto& it : this->rollout->pending_orders()) {
            this->send(it);
        }
        for (const auto rank : this->rollout->ranks_to_poll()) {
            if (rank == this->unreachable_rank_) {
                continue;
            }
            this->rollout->on_reply(this->rollout->round(), rank, std::nullopt, order_result::done,
                                    this->group.report(rank), this->now);
        }
    }

    void send(const addressed_order& it)
    {
        if (this->rollout->is_over()) {
            return;
        }
        const auto round = this->rollout->round();
        if (it.rank == this->unreachable_rank_ || this->happens(this->faults_.lost)) {
            return;
        }
        if (this->happens(this->faults_.late)) {
            const auto delay = this->happens(0.7)
                                   ? std::uniform_int_distribution<>(20, 1500)(this->random_)
                                   : std::uniform_int_distribution<>(2000, 12000)(this->random_);
            this->late_.push_back({this->now + std::chrono::milliseconds(delay), it.rank,
                                   this->token_, this->rollout->epoch(), it.order});
            return;
        }
        const auto result =
            this->group.handle_order(it.rank, this->token_, this->rollout->epoch(), it.order);
        if (!this->happens(this->faults_.unanswered)) {
            this->rollout->on_reply(round, it.rank, it.order, result, this->group.report(it.rank),
                                    this->now);
        }
    }

    void deliver_late()
    {
        for (const auto& it : this->late_) {
            if (it.delivery_time <= this->now) {
                this->group.handle_order(it.rank, it.token, it.epoch, it.order);
            }
        }
        std::erase_if(this->late_,
                      [this](const auto& it) { return it.delivery_time <= this->now; });
    }

    std::mt19937 random_;
    network_faults faults_;
    bool idle_ = false;
    std::optional<unsigned> unreachable_rank_;
    std::uint64_t token_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t used_step_ = 0; ///< highest step that a rollout chose to hold
    std::vector<late_order> late_;
};

} // namespace

// Guards against a switch that pauses the group although every order is executed at once.
Test(map_rollout, switches_all_ranks_without_a_pause)
{
    simulation sim(1, {});
    sim.begin(1);
    sim.run(2s);
    cr_assert(sim.rollout->phase() == rollout_phase::done);
    cr_assert(sim.group.ranks[0].map == sim.rollout->target().version);
    cr_assert(sim.max_held_steps == 0);
}

// Guards against a step with two maps, and against a group that stays held, when orders are lost,
// executed seconds late or not answered, and coordinators are replaced at any moment.
Test(map_rollout, never_runs_a_step_with_two_maps)
{
    unsigned switched = 0;
    for (unsigned seed = 0; seed < 1500; ++seed) {
        std::mt19937 random(seed);
        const auto probability = [&random] {
            return std::uniform_real_distribution<>(0, 0.4)(random);
        };
        simulation sim(
            seed, {probability(), probability(), probability(), 2 * probability(), probability()});
        std::uint64_t token = 0;
        for (int n = 0; n < 12; ++n) {
            // Some coordinators take a new token, others keep the last one.
            token += n % 3 == 0 ? 1 : random() % 2;
            sim.begin(token);
            sim.run(std::chrono::milliseconds(random() % 3000 + 20));
            switched += sim.rollout->phase() == rollout_phase::done ? 1 : 0;
            if (random() % 8 == 0) {
                sim.group.start_epoch();
            }
            const bool is_over = sim.rollout->is_over();
            sim.crash();
            if (!is_over) {
                ++token; // the successor of an unfinished rollout needs a new token
            }
        }
        // All late orders are delivered. Then coordinators on a network without faults must be able
        // to release the group.
        sim.run(13s);
        simulation faultless(seed, {});
        faultless.group = sim.group;
        for (int n = 0; n < 3; ++n) {
            faultless.begin(token + 1 + static_cast<unsigned>(n));
            faultless.run(3s);
            cr_assert(faultless.rollout->is_over(), "seed %u", seed);
        }
        cr_assert(faultless.group.held_steps == 0, "seed %u", seed);
    }
    cr_assert(switched > 400, "%u", switched);
}

// Guards against a coordinator that waits forever, or leaves a switch unfinished, after its
// predecessor crashed between arming the last rank and lifting the hold.
Test(map_rollout, finishes_a_switch_for_which_all_ranks_are_armed)
{
    for (const bool is_held : {true, false}) {
        simulation sim(1, {});
        for (unsigned rank = 0; rank < rank_count; ++rank) {
            sim.group.handle_order(rank, 1, 1, prepare_order{{1000, {}}});
            sim.group.handle_order(rank, 1, 1, arm_order{1000, 14});
        }
        if (is_held) {
            sim.group.handle_order(0, 1, 1, hold_order{14});
        }
        sim.begin(2);
        sim.run(1s);
        cr_assert(sim.rollout->is_over());
        cr_assert(sim.group.held_steps == 0);
        cr_assert(sim.group.ranks[0].map == 1000);
    }
}

// Guards against a coordinator that continues after another one has taken over.
Test(map_rollout, a_fenced_coordinator_stops)
{
    simulation sim(1, {});
    sim.group.handle_order(1, 9, sim.group.epoch, disarm_order{1});
    sim.begin(8);
    sim.run(1s);
    cr_assert(sim.rollout->phase() == rollout_phase::lost);
    cr_assert(sim.group.ranks[0].map == 0);
}
