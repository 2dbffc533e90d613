#include "policy/map_rollout.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace medlaryoke;
using namespace medlaryoke::policy;
using namespace std::chrono_literals;

namespace {

constexpr unsigned rank_count = 3;
constexpr auto tick = 10ms;
constexpr auto pass = 40ms;
constexpr auto ticks_of_load = 130; // between changes of load and of the rank that is cut off

/// The engines of one group, as the platform's pages describe them.
class model_group {
public:
    struct rank_state {
        std::uint64_t token = 0;
        std::uint64_t map = 0;
        std::uint64_t highest = 0; ///< of all versions the rank has had
        std::optional<std::uint64_t> prepared;
        std::optional<arm_order> armed;
        std::optional<std::uint64_t> held;
    };

    order_result obey(unsigned rank, std::uint64_t token, std::uint64_t meant_for,
                      const rank_order& order)
    {
        auto& it = this->ranks[rank];
        if (token < it.token) {
            return order_result::fenced;
        }
        it.token = token;
        if (meant_for != this->epoch) {
            return order_result::conflict;
        }
        return std::visit([&](const auto& body) { return this->carry_out(it, body); }, order);
    }

    rank_report report(unsigned rank) const
    {
        const auto& it = this->ranks[rank];
        rank_report result{this->epoch, true, this->step, it.map, it.prepared, {}, it.held};
        if (it.armed) {
            result.armed = it.armed->version;
        }
        return result;
    }

    /// Begins the next pass unless a rank holds it.
    /// @return whether all ranks use one map in it
    bool begin_pass()
    {
        const auto next = this->step + 1;
        for (const auto& it : this->ranks) {
            if (it.held && *it.held <= next) {
                ++this->stalled;
                return true;
            }
        }
        this->stalled = 0;
        this->step = next;
        for (auto& it : this->ranks) {
            if (it.armed && it.armed->step <= next) {
                it.map = it.armed->version;
                it.armed.reset();
                it.prepared.reset();
            }
        }
        return std::ranges::all_of(
            this->ranks, [this](const auto& it) { return it.map == this->ranks.front().map; });
    }

    /// A rank restarts: the group forms anew with map 0.
    void form()
    {
        ++this->epoch;
        for (auto& it : this->ranks) {
            it = {it.token, 0, 0, {}, {}, {}};
        }
    }

    std::vector<rank_state> ranks{rank_count};
    std::uint64_t epoch = 1;
    std::uint64_t step = 10;
    unsigned stalled = 0; ///< passes in a row that were held

private:
    order_result carry_out(rank_state& it, const prepare_order& order)
    {
        if (it.armed || order.map.version <= it.highest) {
            return order_result::conflict;
        }
        it.highest = order.map.version;
        it.prepared = order.map.version;
        return order_result::done;
    }

    order_result carry_out(rank_state& it, const arm_order& order)
    {
        if (it.armed && it.armed->version == order.version && it.armed->step == order.step) {
            return order_result::done;
        }
        if (it.prepared != order.version || order.step <= this->step) {
            return order_result::conflict;
        }
        it.armed = order;
        return order_result::done;
    }

    order_result carry_out(rank_state& it, const disarm_order& order)
    {
        if (it.map == order.version) {
            return order_result::conflict;
        }
        if (it.armed && it.armed->version == order.version) {
            it.armed.reset();
        }
        return order_result::done;
    }

    order_result carry_out(rank_state& it, const hold_order& order)
    {
        if (it.held == order.step) {
            return order_result::done;
        }
        if (it.held || order.step <= this->step) {
            return order_result::conflict;
        }
        it.held = order.step;
        return order_result::done;
    }

    order_result carry_out(rank_state& it, const go_order& order)
    {
        if (it.held == order.step) {
            it.held.reset();
        }
        return order_result::done;
    }
};

struct network_faults {
    double lost = 0; ///< orders that are never carried out
    double late = 0; ///< orders that are carried out up to 12 s later and not answered
    double idle = 0; ///< part of the time in which the group has nothing to do
    double cut = 0;  ///< part of the time in which one rank cannot be reached
    double mute = 0; ///< orders that are carried out and not answered
};

/// Coordinators and a group with a network between them.
class simulation {
public:
    simulation(unsigned seed, network_faults faults) : random_(seed), faults_(faults) {}

    void run(duration length)
    {
        for (const auto end = this->now + length; this->now < end; this->now += tick) {
            const auto ticks = this->now.time_since_epoch() / tick;
            if (ticks % ticks_of_load == 0) {
                this->idle_ = this->chance(this->faults_.idle);
                this->cut_rank_ = this->chance(this->faults_.cut)
                                      ? std::optional<unsigned>(this->random_() % rank_count)
                                      : std::nullopt;
            }
            if (!this->idle_ && ticks % (pass / tick) == 0) {
                cr_assert(this->group.begin_pass(), "a pass with two maps");
                this->longest_stall = std::max(this->longest_stall, this->group.stalled);
            }
            this->deliver_late();
            if (this->rollout) {
                this->drive();
            }
        }
    }

    /// Starts a rollout with a token of its own; an earlier coordinator's late orders go on.
    void begin(std::uint64_t token)
    {
        this->token_ = token;
        this->version_ = std::max(this->version_ + 2, token * 1000);
        rollout_options options;
        options.least_step = this->used_step_ + 1;
        this->rollout = std::make_unique<map_rollout>(rank_count, this->group.epoch,
                                                      expert_map{this->version_, {}}, expert_map{},
                                                      this->now, options);
    }

    /// The coordinator dies; what it has sent may still arrive.
    void kill()
    {
        this->used_step_ = std::max(this->used_step_, this->rollout->step());
        this->rollout.reset();
    }

    model_group group;
    time_point now{100s};
    std::unique_ptr<map_rollout> rollout;
    unsigned longest_stall = 0;

private:
    struct late_order {
        time_point at;
        unsigned rank;
        std::uint64_t token;
        std::uint64_t epoch;
        rank_order order;
    };

    bool chance(double part)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random_) < part;
    }

    void drive()
    {
        this->rollout->on_time(this->now);
        for (const auto& it : this->rollout->orders()) {
            this->send(it);
        }
        for (const auto rank : this->rollout->polls()) {
            if (rank == this->cut_rank_) {
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
        if (it.rank == this->cut_rank_ || this->chance(this->faults_.lost)) {
            return;
        }
        if (this->chance(this->faults_.late)) {
            const auto delay = this->chance(0.7)
                                   ? std::uniform_int_distribution<>(20, 1500)(this->random_)
                                   : std::uniform_int_distribution<>(2000, 12000)(this->random_);
            this->late_.push_back({this->now + std::chrono::milliseconds(delay), it.rank,
                                   this->token_, this->rollout->epoch(), it.order});
            return;
        }
        const auto result =
            this->group.obey(it.rank, this->token_, this->rollout->epoch(), it.order);
        if (!this->chance(this->faults_.mute)) {
            this->rollout->on_reply(round, it.rank, it.order, result, this->group.report(it.rank),
                                    this->now);
        }
    }

    void deliver_late()
    {
        for (const auto& it : this->late_) {
            if (it.at <= this->now) {
                this->group.obey(it.rank, it.token, it.epoch, it.order);
            }
        }
        std::erase_if(this->late_, [this](const auto& it) { return it.at <= this->now; });
    }

    std::mt19937 random_;
    network_faults faults_;
    bool idle_ = false;
    std::optional<unsigned> cut_rank_;
    std::uint64_t token_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t used_step_ = 0; ///< highest pass that a rollout held
    std::vector<late_order> late_;
};

} // namespace

// Guards against a switch that makes the group wait although every order is obeyed at once.
Test(map_rollout, switches_all_ranks_without_a_pause)
{
    simulation world(1, {});
    world.begin(1);
    world.run(2s);
    cr_assert(world.rollout->phase() == rollout_phase::done);
    cr_assert(world.group.ranks[0].map == world.rollout->target().version);
    cr_assert(world.longest_stall == 0);
}

// Guards against a pass with two maps, or a group that stays held, when orders are lost, carried
// out seconds late, or not answered, and coordinators die and follow each other at any moment.
Test(map_rollout, never_splits_the_group_whatever_happens_to_orders)
{
    unsigned switched = 0;
    for (unsigned seed = 0; seed < 1500; ++seed) {
        std::mt19937 random(seed);
        const auto part = [&random] { return std::uniform_real_distribution<>(0, 0.4)(random); };
        simulation world(seed, {part(), part(), part(), 2 * part(), part()});
        std::uint64_t token = 0;
        for (int n = 0; n < 12; ++n) {
            // Even ones end by themselves and may keep their token, odd ones are killed.
            token += n % 3 == 0 ? 1 : random() % 2;
            world.begin(token);
            world.run(std::chrono::milliseconds(random() % 3000 + 20));
            switched += world.rollout->phase() == rollout_phase::done ? 1 : 0;
            if (random() % 8 == 0) {
                world.group.form();
            }
            const bool is_over = world.rollout->is_over();
            world.kill();
            if (!is_over) {
                ++token; // a successor takes a token of its own
            }
        }
        // Late orders run out; a last coordinator on a sound network frees the group.
        world.run(13s);
        simulation sound(seed, {});
        sound.group = world.group;
        for (int n = 0; n < 3; ++n) {
            sound.begin(token + 1 + static_cast<unsigned>(n));
            sound.run(3s);
            cr_assert(sound.rollout->is_over(), "seed %u", seed);
        }
        cr_assert(sound.group.stalled == 0, "seed %u", seed);
    }
    cr_assert(switched > 400, "%u", switched);
}

// Guards against a successor that waits for ever, or stops a switch half way, after its predecessor
// died between arming the last rank and lifting the hold.
Test(map_rollout, finishes_a_switch_for_which_all_ranks_are_armed)
{
    for (const bool is_held : {true, false}) {
        simulation world(1, {});
        for (unsigned rank = 0; rank < rank_count; ++rank) {
            world.group.obey(rank, 1, 1, prepare_order{{1000, {}}});
            world.group.obey(rank, 1, 1, arm_order{1000, 14});
        }
        if (is_held) {
            world.group.obey(0, 1, 1, hold_order{14});
        }
        world.begin(2);
        world.run(1s);
        cr_assert(world.rollout->is_over());
        cr_assert(world.group.stalled == 0);
        cr_assert(world.group.ranks[0].map == 1000);
    }
}

// Guards against a coordinator that goes on after another one has taken over.
Test(map_rollout, a_fenced_coordinator_stops)
{
    simulation world(1, {});
    world.group.obey(1, 9, world.group.epoch, disarm_order{1});
    world.begin(8);
    world.run(1s);
    cr_assert(world.rollout->phase() == rollout_phase::lost);
    cr_assert(world.group.ranks[0].map == 0);
}
