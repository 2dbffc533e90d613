#include "experts/group_balancer.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "experts/rank_agent.h"

using namespace medlaryoke;
using namespace medlaryoke::experts;
using namespace std::chrono_literals;

namespace {

constexpr policy::group_shape shape{2, 1, 4, 3, 2};

/// State of the engines of a group of two ranks. By default expert 0 gets nearly all tokens.
class fake_engine_group {
public:
    struct rank {
        std::uint64_t map = 0;
        std::optional<std::uint64_t> prepared;
        std::optional<policy::arm_order> armed;
        std::optional<std::uint64_t> held;
        std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(4);
    };

    void apply_order(unsigned index, const policy::rank_order& order)
    {
        const std::scoped_lock lock(this->mutex);
        ++this->orders;
        auto& it = this->ranks[index];
        if (const auto* prepare = std::get_if<policy::prepare_order>(&order)) {
            it.prepared = prepare->map->version;
        }
        else if (const auto* arm = std::get_if<policy::arm_order>(&order)) {
            it.armed = *arm;
        }
        else if (const auto* hold = std::get_if<policy::hold_order>(&order)) {
            it.held = hold->step;
        }
        else if (std::holds_alternative<policy::release_hold_order>(order) &&
                 !this->ignores_release_orders) {
            it.held.reset();
        }
    }

    void begin_step()
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& it : this->ranks) {
            if (it.held && *it.held <= this->step + 1) {
                return;
            }
        }
        ++this->step;
        for (auto& it : this->ranks) {
            if (it.armed && it.armed->step == this->step) {
                it.map = it.armed->version;
                it.armed.reset();
            }
        }
    }

    bool is_held()
    {
        const std::scoped_lock lock(this->mutex);
        return this->ranks[0].held.has_value() || this->ranks[1].held.has_value();
    }

    bool is_prepared(unsigned index)
    {
        const std::scoped_lock lock(this->mutex);
        return this->ranks[index].prepared.has_value();
    }

    std::mutex mutex;
    /// While false, arm orders are not answered and the hold stays.
    std::atomic<bool> accepts_arm_orders = false;
    /// While true, a hold stays although it is told to end.
    std::atomic<bool> ignores_release_orders = false;
    unsigned orders = 0; ///< orders that the engines got
    /// While true, all experts get equally many tokens.
    std::atomic<bool> has_even_load = false;
    /// While true, rank 1 does not answer reads of its counts.
    std::atomic<bool> rank_1_withholds_counts = false;
    /// Rank that engine 0 reports instead of its own.
    std::optional<unsigned> rank_reported_by_engine_0;
    std::uint64_t step = 10;
    std::vector<rank> ranks{2};
};

/// The engine of one rank of a fake_engine_group.
class fake_group_engine final : public lockstep_engine {
public:
    fake_group_engine(fake_engine_group& group, unsigned index) : group_(group), index_(index) {}

    void order(const policy::rank_order& order, std::uint64_t /*token*/, std::uint64_t /*epoch*/,
               std::function<void(policy::order_result)> done) override
    {
        if (std::holds_alternative<policy::arm_order>(order) && !this->group_.accepts_arm_orders) {
            done(policy::order_result::unanswered);
            return;
        }
        this->group_.apply_order(this->index_, order);
        done(policy::order_result::done);
    }

    void report(std::function<void(const std::optional<policy::rank_report>&)> done) override
    {
        policy::rank_report report;
        {
            const std::scoped_lock lock(this->group_.mutex);
            const auto& it = this->group_.ranks[this->index_];
            report.group = "g";
            report.rank = this->index_ == 0
                              ? this->group_.rank_reported_by_engine_0.value_or(this->index_)
                              : this->index_;
            report.size = shape.ranks;
            report.step = this->group_.step;
            report.map_version = it.map;
            report.prepared_version = it.prepared;
            report.held_step = it.held;
            if (it.armed) {
                report.armed_version = it.armed->version;
            }
        }
        done(report);
    }

    void counts(std::function<void(const std::optional<std::vector<std::uint64_t>>&)> done) override
    {
        if (this->index_ == 1 && this->group_.rank_1_withholds_counts) {
            this->pending_counts_callback_ = std::move(done);
            return;
        }
        const std::scoped_lock lock(this->group_.mutex);
        auto& counts = this->group_.ranks[this->index_].counts;
        counts[0] += this->group_.has_even_load ? 100'000 : 1'000'000;
        std::ranges::for_each(counts.begin() + 1, counts.end(), [this](std::uint64_t& it) {
            it += this->group_.has_even_load ? 100'000 : 1000;
        });
        done(counts);
    }

    void experts(std::function<void(const std::optional<held_experts>&)> done) override
    {
        done(std::nullopt);
    }

private:
    fake_engine_group& group_;
    unsigned index_;
    std::function<void(const std::optional<std::vector<std::uint64_t>>&)> pending_counts_callback_;
};

/// A balancer of a fake_engine_group, with an agent for each engine.
class balanced_group_fixture {
public:
    explicit balanced_group_fixture(balancer_options options = {},
                                    const std::function<void(fake_engine_group&)>& set_up = {})
    {
        if (set_up) {
            set_up(this->group);
        }
        std::vector<rank_address> addresses;
        for (unsigned index = 0; index < shape.ranks; ++index) {
            this->engines.push_back(std::make_unique<fake_group_engine>(this->group, index));
            this->agents.push_back(
                std::make_unique<rank_agent>(this->context, "127.0.0.1:0", *this->engines.back()));
            addresses.push_back({this->agents.back()->address(), this->agents.back()->address()});
        }
        this->balancer = std::make_shared<group_balancer>(
            this->context, this->clock, "g", shape, addresses,
            [this](const std::string&) {
                return std::make_unique<fake_group_engine>(this->group, 0);
            },
            100ms, options);
        this->context.start();
        this->context.post([this] { this->balancer->start(1); });
    }
    balanced_group_fixture(const balanced_group_fixture&) = delete;
    balanced_group_fixture& operator=(const balanced_group_fixture&) = delete;
    balanced_group_fixture(balanced_group_fixture&&) = delete;
    balanced_group_fixture& operator=(balanced_group_fixture&&) = delete;
    ~balanced_group_fixture()
    {
        this->context.stop();
        this->context.wait();
    }

    /// Waits up to 2 s for a condition.
    /// @return whether it holds
    template <typename Predicate>
    static bool wait_until(Predicate predicate)
    {
        for (int n = 0; n < 1000 && !predicate(); ++n) {
            std::this_thread::sleep_for(2ms);
        }
        return predicate();
    }

    fake_engine_group group;
    transport::runtime context{1};
    system_clock_source clock;
    std::vector<std::unique_ptr<fake_group_engine>> engines;
    std::vector<std::unique_ptr<rank_agent>> agents;
    std::shared_ptr<group_balancer> balancer;
};

} // namespace

// Guards against a group that is blocked for seconds: if the coordinator stops between the hold and
// the end of a switch (the list of upstreams or the leader changes), nobody lifts the hold.
Test(group_balancer, finishes_a_switch_in_progress_before_it_stops)
{
    balanced_group_fixture fixture;
    auto& group = fixture.group;
    cr_assert(balanced_group_fixture::wait_until([&group] { return group.is_held(); }));
    const std::weak_ptr<group_balancer> stopped = fixture.balancer;
    fixture.context.post([&fixture] {
        fixture.balancer->stop();
        fixture.balancer.reset();
    });
    group.accepts_arm_orders = true;
    std::uint64_t map = 0;
    for (int n = 0; n < 500 && map == 0; ++n) {
        std::this_thread::sleep_for(10ms);
        group.begin_step();
        const std::scoped_lock lock(group.mutex);
        map = group.ranks[0].map;
    }
    cr_assert(map != 0 && group.ranks[1].map == map);
    cr_assert(!group.is_held());
    // It keeps itself alive only until the switch has ended.
    cr_assert(balanced_group_fixture::wait_until([&stopped] { return stopped.expired(); }));
}

// Guards against a map that fits only the requests of the first rank to answer: the search started
// with the counts of that rank, before those of the other ranks arrived.
Test(group_balancer, searches_only_after_all_counted_ranks_have_answered)
{
    balanced_group_fixture fixture;
    auto& group = fixture.group;
    group.has_even_load = true;
    const auto polls_served = [&group] {
        const std::scoped_lock lock(group.mutex);
        return group.ranks[0].counts[1] / 100'000;
    };
    cr_assert(balanced_group_fixture::wait_until([&polls_served] { return polls_served() >= 2; }));
    group.rank_1_withholds_counts = true;
    group.has_even_load = false;
    const auto is_skewed = [&group] {
        const std::scoped_lock lock(group.mutex);
        return group.ranks[0].counts[0] >= 1'000'000;
    };
    cr_assert(balanced_group_fixture::wait_until(is_skewed));
    std::this_thread::sleep_for(100ms); // shorter than the timeout of the unanswered poll
    cr_assert(!group.is_prepared(0));
}

// Guards against operators who do not learn that a group stands still.
Test(group_balancer, counts_a_group_that_is_held_for_too_long)
{
    balancer_options options;
    options.hold_limit = 200ms;
    balanced_group_fixture fixture(options);
    auto& group = fixture.group;
    group.ignores_release_orders = true;
    cr_assert(balanced_group_fixture::wait_until([&group] { return group.is_held(); }));
    {
        const std::scoped_lock lock(group.mutex);
        const auto& held = group.ranks[0].held ? group.ranks[0].held : group.ranks[1].held;
        group.step = *held - 1; // the group stands before the held step
    }
    std::atomic<std::uint64_t> long_holds = 0;
    cr_assert(balanced_group_fixture::wait_until([&fixture, &long_holds] {
        fixture.context.post(
            [&fixture, &long_holds] { long_holds = fixture.balancer->long_holds(); });
        return long_holds == 1;
    }));
}

// Guards against orders to all ranks, many times a second, while an idle group waits with a switch
// for which every rank is armed: the group switches by itself when it runs its next step.
Test(group_balancer, leaves_an_idle_group_that_is_armed_alone)
{
    balanced_group_fixture fixture({}, [](fake_engine_group& group) {
        for (auto& it : group.ranks) {
            it.prepared = 77;
            it.armed = policy::arm_order{77, 20};
        }
    });
    std::this_thread::sleep_for(1s); // several polls
    const std::scoped_lock lock(fixture.group.mutex);
    cr_assert(fixture.group.orders == 0, "%u", fixture.group.orders);
}

// Guards against a group that runs with two maps because the report of one rank counted for
// another: while an engine reports another rank than the one that is asked, no order is sent.
Test(group_balancer, sends_no_order_while_another_engine_answers_for_a_rank)
{
    balanced_group_fixture fixture(
        {}, [](fake_engine_group& group) { group.rank_reported_by_engine_0 = 1; });
    auto& group = fixture.group;
    std::this_thread::sleep_for(1s); // several polls
    {
        const std::scoped_lock lock(group.mutex);
        cr_assert(group.orders == 0, "%u", group.orders);
        group.rank_reported_by_engine_0.reset();
    }
    cr_assert(balanced_group_fixture::wait_until([&group] { return group.is_held(); }));
}
